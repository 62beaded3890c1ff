//! What must hold under the replayed loads.

use crate::turns::tests::contention::Load;
use crate::turns::tests::contention::OTHER;
use crate::turns::tests::contention::URGENT;
use crate::turns::tests::contention::alternatives::Order;
use crate::turns::tests::contention::alternatives::Ordered;
use crate::turns::tests::contention::leader::Leader;
use crate::turns::tests::contention::replay;

#[test]
fn prints() {
    for seed in [3, 5] {
        for burst_tenths in [75, 150] {
            let load = Load { seed, burst_tenths, leader_lost: None };
            let mut rules: Vec<(&str, Box<dyn crate::turns::tests::contention::Admission>)> =
                vec![("shares", Box::new(Leader::with_teams()))];
            for (name, rule) in &mut rules {
                let at = std::time::Instant::now();
                let o = replay(load, rule.as_mut());
                println!(
                    "seed {seed} burst {burst_tenths} {name}: total {} urgent {:.3} other {:.3} burst team {:.3} worst other {:.3} 503 {:?} open {} {:?}",
                    o.total_on_time(),
                    o.on_time_of_route(URGENT),
                    o.on_time_of_route(OTHER),
                    o.on_time_of_team(0),
                    o.worst_other_team(),
                    o.refusals(),
                    o.max_open_turns,
                    at.elapsed()
                );
                o.diagnose();
            }
        }
    }
}
