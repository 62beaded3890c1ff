//! Tests of the lines about a leader's load.

use super::*;
use crate::turns::command::Finish;
use crate::turns::command::Take;

const SECOND: Timestamp = Timestamp(1_000_000);

#[test]
fn reports_requests_by_kind_and_end() {
    let mut load = LeaderLoad::new(Timestamp::default());
    let finish = TurnCommand::Finish(Finish::default());
    load.record(&finish, RequestEnd::Done, Duration::from_millis(8));
    load.record(&finish, RequestEnd::Done, Duration::from_millis(20));
    load.record(&finish, RequestEnd::Busy, Duration::ZERO);
    load.record(&finish, RequestEnd::Lost, Duration::ZERO);
    load.record(&TurnCommand::Take(Take::default()), RequestEnd::Denied, Duration::ZERO);
    load.record_repeat();
    load.record_query(true);
    load.record_query(false);
    load.record_loop_delay(Duration::from_millis(31));
    load.record_loop_delay(Duration::from_millis(4));
    assert_eq!(load.take_report(Timestamp(999_999)), None);
    insta::assert_snapshot!(
        load.take_report(SECOND).unwrap_or_default(),
        @"ms=1000 begins=0/0/0/0 finishes=4/0/1/1 charges=1/1/0/0 repeats=1 queries=2 early=1 commit_us_p50=8031 commit_us_max=20095 loop_delay_ms=31"
    );
}

#[test]
fn reports_nothing_without_requests() {
    let mut load = LeaderLoad::new(Timestamp::default());
    load.record_loop_delay(Duration::from_millis(31));
    assert_eq!(load.take_report(SECOND), None);
}
