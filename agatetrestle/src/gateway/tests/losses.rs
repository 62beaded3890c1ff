//! Tests of what an attempt does after its server broke off.

use std::time::Duration;

use crate::gateway::losses::permission_wait;

/// Guards against a call that fails during an election, and against one that waits until no time is left for its next attempt.
#[test]
fn permission_to_go_on_is_awaited_for_half_of_the_time_left() {
    for (left, wait) in [(0, 0), (600, 300), (3_000, 1_500), (60_000, 2_000)] {
        assert_eq!(permission_wait(Duration::from_millis(left)), Duration::from_millis(wait), "{left}");
    }
}
