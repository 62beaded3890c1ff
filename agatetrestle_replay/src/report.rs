//! Measures as JSON or as a table with one column for each replay.

use std::fmt::Write;

use crate::measure::Measures;
use crate::measure::Percentiles;

/// Writes measures as JSON.
///
/// # Errors
///
/// Fails only if a value can't be written as JSON.
pub fn json(measures: &[Measures]) -> Result<String, serde_json::Error> {
    match measures {
        [single] => serde_json::to_string_pretty(single),
        several => serde_json::to_string_pretty(several),
    }
}

/// Writes measures side by side.
#[must_use]
pub fn table(measures: &[Measures]) -> String {
    let mut text = String::new();
    row(&mut text, "", measures, |m| m.policy.to_string());
    row(&mut text, "programs completed", measures, |m| format!("{}/{}", m.completed, m.programs));
    row(&mut text, "programs refused, failed", measures, |m| {
        format!("{}, {}", m.refused_programs, m.failed_programs)
    });
    row(&mut text, "latency p50/p95/p99 s", measures, |m| seconds(m.all.whole));
    row(&mut text, "without pauses", measures, |m| seconds(m.all.served));
    let classes: std::collections::BTreeSet<_> = measures.iter().flat_map(|m| m.classes.keys()).collect();
    for class in classes {
        row(&mut text, class, measures, |m| {
            m.classes.get(class).map(|latency| seconds(latency.served)).unwrap_or_default()
        });
    }
    row(&mut text, "first token s", measures, |m| seconds(m.first_token));
    row(&mut text, "calls, attempts", measures, |m| format!("{}, {}", m.calls, m.attempts));
    row(&mut text, "refusals", measures, |m| m.refusals.to_string());
    row(&mut text, "useful tokens", measures, |m| m.useful_tokens.to_string());
    row(&mut text, "computed tokens", measures, |m| m.computed_tokens.to_string());
    row(&mut text, "recomputed tokens", measures, |m| m.recomputed_tokens.to_string());
    row(&mut text, "unread tokens", measures, |m| m.unread_tokens.to_string());
    row(&mut text, "wasted cache %", measures, |m| hundredths(m.wasted_cache));
    row(&mut text, "engines busy %", measures, |m| hundredths(m.engines_busy));
    row(&mut text, "makespan s", measures, |m| (m.makespan / 1_000_000).to_string());
    row(&mut text, "broken: order, once", measures, |m| {
        format!("{}, {}", m.broken.order, m.broken.at_most_once)
    });
    row(&mut text, "broken: gone, sent, leaving", measures, |m| {
        let broken = &m.broken;
        format!("{}, {}, {}", broken.cache_for_the_gone, broken.refused_after_send, broken.to_leaving)
    });
    text
}

fn row(text: &mut String, name: &str, measures: &[Measures], cell: impl Fn(&Measures) -> String) {
    // Writing into a string can't fail.
    let _ = write!(text, "{name:<28}");
    for measure in measures {
        let _ = write!(text, " {:>26}", cell(measure));
    }
    text.push('\n');
}

fn seconds(percentiles: Percentiles) -> String {
    let tenths = |micros: u64| format!("{}.{}", micros / 1_000_000, micros / 100_000 % 10);
    format!("{}/{}/{}", tenths(percentiles.p50), tenths(percentiles.p95), tenths(percentiles.p99))
}

fn hundredths(parts: u64) -> String {
    format!("{}.{:02}", parts / 100, parts % 100)
}
