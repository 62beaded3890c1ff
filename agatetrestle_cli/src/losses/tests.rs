//! Tests of the summary of losses on lines in the log format of entries.

use super::*;
use crate::table::table;

fn line(second: u32, service: &str, status: u16, outcome: &str, wait: u32, begin: u32) -> String {
    format!(
        "2026-01-13T19:06:{second:02}.338003Z INFO  gateway: request=ab version=2 route=r service={service} server=s-1 tries=1 \
         status={status} outcome=\"{outcome}\" wait_us={wait} begin_us={begin} head_us=9 finish_us=0 total_us=9"
    )
}

#[test]
fn sums_losses_by_time_service_and_cause() {
    let mut summary = LossSummary::new(2);
    for (second, service, status, outcome, wait, begin) in [
        (6, "app", 200, "whole", 80, 0),
        (7, "app", 503, "TooLate", 900_000, 0),
        (7, "app", 503, "TooLate", 900_000, 0),
        (7, "engines", 200, "whole and kept", 80, 700_000),
        (8, "engines", 200, "whole", 50_000, 8_000),
        (8, "engines", 502, "the server says nothing while others answer", 0, 0),
        (8, "engines", 502, "no answer: connection error", 0, 0),
        (8, "engines", 504, "no answer in time", 0, 0),
        (8, "engines", 504, "whole", 0, 0),
        (8, "engines", 0, "the caller left", 0, 0),
        (8, "engines", 503, "no quorum took the command: the group has no leader", 0, 0),
        (8, "engines", 402, "the budget of the program is spent", 0, 0),
        (9, "engines", 200, "the server broke off", 0, 0),
    ] {
        summary.add(&line(second, service, status, outcome, wait, begin));
    }
    insta::assert_snapshot!(table(&summary.losses()));
}

/// Guards against commits that are attributed to the server, since the request is sent before its commit is complete.
#[test]
fn commits_after_an_early_answer_are_the_state_groups() {
    let mut summary = LossSummary::new(1);
    let slow = line(1, "app", 200, "whole", 0, 900).replace("head_us=9", "commit_us=700000 head_us=700009");
    let failed = line(1, "app", 502, "the turn is not committed: no leader", 0, 900);
    for (line, cause) in [(slow, Cause::SlowCommit), (failed, Cause::NotReady)] {
        let (_, fields) = parse_line(&line).unwrap();
        assert_eq!(classify(&fields, outcome(&line)), Some(cause));
        summary.add(&line);
    }
    assert_eq!(summary.losses().len(), 2);
}

#[test]
fn counts_prefixed_lines_and_skips_others() {
    let mut summary = LossSummary::new(1);
    summary.add(&format!("  12.3456 entry-1 {}", line(30, "app", 503, "NoServer", 0, 0)));
    for other in [
        "",
        "no line",
        "2026-01-13T19:06:30.1Z INFO  gateway: 3 backend servers are listed.",
        "T request=a status=0",
    ] {
        summary.add(other);
    }
    summary.add("2026-01-13T19:xx:30.1Z INFO  gateway: request=a service=app status=0");
    summary.add("2026-01-13T19:06:30.1Z INFO  gateway: request=a service= status=404");
    let losses = summary.losses();
    assert_eq!(
        losses.iter().map(|loss| (loss.requests, loss.struck, loss.ours)).collect::<Vec<_>>(),
        [(1, 1, true)]
    );
}
