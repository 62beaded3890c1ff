//! Formats statistics as JSON or as a table with a column for each replay.

use std::fmt::Write;

use crate::stats::Percentiles;
use crate::stats::ReplayStats;

/// Formats one replay as a JSON object and several as an array.
///
/// # Errors
///
/// Fails only if a value can't be written as JSON.
pub fn json(stats: &[ReplayStats]) -> Result<String, serde_json::Error> {
    match stats {
        [single] => serde_json::to_string_pretty(single),
        several => serde_json::to_string_pretty(several),
    }
}

/// Formats replays side by side as a table.
#[must_use]
pub fn table(stats: &[ReplayStats]) -> String {
    let mut text = String::new();
    write_row(&mut text, "", stats, |m| m.policy.to_string());
    write_row(&mut text, "programs completed", stats, |m| format!("{}/{}", m.completed, m.programs));
    write_row(&mut text, "programs refused, failed", stats, |m| {
        format!("{}, {}", m.refused_programs, m.failed_programs)
    });
    write_row(&mut text, "latency p50/p95/p99 s", stats, |m| seconds(m.all.whole));
    write_row(&mut text, "without pauses", stats, |m| seconds(m.all.served));
    let classes: std::collections::BTreeSet<_> = stats.iter().flat_map(|m| m.classes.keys()).collect();
    for class in classes {
        write_row(&mut text, class, stats, |m| {
            m.classes.get(class).map(|latency| seconds(latency.served)).unwrap_or_default()
        });
    }
    write_row(&mut text, "first token s", stats, |m| seconds(m.first_token));
    write_row(&mut text, "calls, attempts", stats, |m| format!("{}, {}", m.calls, m.attempts));
    write_row(&mut text, "refusals", stats, |m| m.refusals.to_string());
    write_row(&mut text, "useful tokens", stats, |m| m.useful_tokens.to_string());
    write_row(&mut text, "computed tokens", stats, |m| m.computed_tokens.to_string());
    write_row(&mut text, "recomputed tokens", stats, |m| m.recomputed_tokens.to_string());
    write_row(&mut text, "unread tokens", stats, |m| m.unread_tokens.to_string());
    write_row(&mut text, "wasted cache %", stats, |m| hundredths(m.wasted_cache));
    write_row(&mut text, "engines busy %", stats, |m| hundredths(m.engines_busy));
    write_row(&mut text, "makespan s", stats, |m| (m.makespan / 1_000_000).to_string());
    write_row(&mut text, "broken: order, once", stats, |m| {
        format!("{}, {}", m.broken.order, m.broken.at_most_once)
    });
    write_row(&mut text, "broken: gone, sent, leaving", stats, |m| {
        let broken = &m.broken;
        format!("{}, {}, {}", broken.cache_for_the_gone, broken.refused_after_send, broken.to_leaving)
    });
    text
}

fn write_row(text: &mut String, name: &str, stats: &[ReplayStats], cell: impl Fn(&ReplayStats) -> String) {
    // Writing to a `String` can't fail.
    let _ = write!(text, "{name:<28}");
    for run in stats {
        let _ = write!(text, " {:>26}", cell(run));
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
