//! Unit tests of the admission of programs; [`crate::turns::tests`] replays contention through it.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use crate::clock::Timestamp;
use crate::turns::command::AdmissionParams;
use crate::turns::command::Finish;
use crate::turns::program_admission::ProgramAdmission;
use crate::turns::program_admission::ProgramStart;
use crate::turns::program_admission::Refusal;
use crate::turns::program_admission::RefusalReason;
use crate::turns::program_admission::TurnStart;
use crate::turns::program_admission::shares::Claim;
use crate::turns::program_admission::shares::Shares;
use crate::turns::recent::RecentPrograms;

const TIMEOUT: Duration = Duration::from_secs(3);
const CAPACITY: f64 = 20.0;

fn at(millis: u64) -> Timestamp {
    Timestamp(millis * 1_000)
}

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// Drives an admission with one service and a route for each class.
#[derive(Default)]
struct Driver {
    admission: ProgramAdmission,
}

impl Driver {
    fn check(&mut self, millis: u64, program: &str, class: u8, finish_in: Duration) -> Result<(), Refusal> {
        let start = ProgramStart {
            service: &name("engines"),
            route: &name(&format!("chat-{class}")),
            team: &name("red"),
            program: &name(program),
            class,
            capacity: CAPACITY,
            finish_in: Some(finish_in),
            patience: TIMEOUT,
        };
        self.admission.check(at(millis), &start)
    }

    fn begin(&mut self, millis: u64, program: &str, class: u8) {
        let turn = TurnStart {
            service: &name("engines"),
            route: &name(&format!("chat-{class}")),
            team: &name("red"),
            program: &name(program),
            turn: &name(program),
            class,
            timeout: TIMEOUT,
        };
        self.admission.begin(at(millis), turn);
    }

    /// Begins programs until one is refused, and returns how many began.
    fn fill(&mut self, millis: u64) -> usize {
        let began = (0..1_000).take_while(|number| {
            let program = format!("f-{number}");
            let admitted = self.check(millis, &program, 1, Duration::from_secs(5)).is_ok();
            if admitted {
                self.begin(millis, &program, 1);
            }
            admitted
        });
        began.count()
    }

    fn finish(&mut self, millis: u64, program: &str) {
        self.admission.finish(at(millis), &name(program), Some(Duration::from_millis(200)));
    }
}

/// Guards against a returning program that finds the capacity it was promised taken by a newer one.
#[test]
fn reserves_capacity_for_returning_program() {
    let mut driver = Driver::default();
    let began = driver.fill(0);
    assert!(began > 20, "{began}");
    let refused = driver.check(1, "x", 1, Duration::from_secs(5)).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::Reserved);
    assert!(refused.retry_after <= Duration::from_millis(250), "{refused:?}");
    let returned = 1 + u64::try_from(refused.retry_after.as_millis()).unwrap();
    assert!(driver.check(returned - 1, "new", 1, Duration::from_secs(5)).is_err(), "held for x");
    assert_eq!(driver.check(returned, "x", 1, Duration::from_secs(5)), Ok(()));
}

/// Guards against capacity that stays held for programs that do not return.
#[test]
fn reservations_expire() {
    let mut driver = Driver::default();
    driver.fill(0);
    assert_eq!(
        driver.check(1, "x", 1, Duration::from_secs(5)).map_err(|refusal| refusal.reason),
        Err(RefusalReason::Reserved)
    );
    assert!(driver.admission.counts().2 > 0);
    let _ = driver.check(1_000, "y", 1, Duration::ZERO);
    assert_eq!(driver.admission.counts().2, 0);
}

/// Guards against programs that begin and can only end late, and against a delay for one that can never begin.
#[test]
fn refuses_program_that_cannot_end_in_time() {
    let mut driver = Driver::default();
    driver.fill(0);
    let finish_in = Duration::from_secs(2);
    assert!(driver.check(100, "x", 1, finish_in).is_err());
    let refused = driver.check(1_200, "x", 1, Duration::from_millis(900)).unwrap_err();
    assert_eq!(refused.reason, RefusalReason::Infeasible);
    assert_eq!(refused.retry_after, TIMEOUT);
}

/// Guards against a less urgent burst that takes the capacity which urgent programs needed a moment ago.
#[test]
fn keeps_capacity_for_urgent_class() {
    let mut driver = Driver::default();
    // Urgent programs arrive, end and leave their capacity free.
    for number in 0..20 {
        let (program, millis) = (format!("u-{number}"), number * 100);
        driver.check(millis, &program, 0, Duration::from_secs(2)).unwrap();
        driver.begin(millis, &program, 0);
        driver.finish(millis + 200, &program);
    }
    let mut alone = Driver::default();
    let (with_urgent, without) = (driver.fill(3_500), alone.fill(3_500));
    assert!(with_urgent < without, "{with_urgent} {without}");
    assert_eq!(driver.check(3_510, "u", 0, Duration::from_secs(2)), Ok(()));
}

/// Guards against turns that count for ever after their entry was lost.
#[test]
fn expires_turns_of_lost_entry() {
    let mut driver = Driver::default();
    let began = driver.fill(0);
    assert_eq!(driver.admission.counts().0, u32::try_from(began).unwrap());
    let _ = driver.check(3_300, "x", 1, Duration::from_secs(5));
    assert_eq!(driver.admission.counts().0, 0);
}

/// Guards against a program that counts although its team's rate limit refused it.
#[test]
fn withdrawn_program_does_not_count() {
    let mut driver = Driver::default();
    driver.check(0, "x", 1, Duration::from_secs(5)).unwrap();
    assert_eq!(driver.admission.counts().1, 1);
    driver.admission.withdraw(&name("engines"), &name("x"));
    assert_eq!(driver.admission.counts().1, 0);
    assert_eq!(driver.check(10, "x", 1, Duration::from_secs(5)), Ok(()));
}

/// Guards against a new leader that counts programs of the log twice, or turns that the log has ended.
#[test]
fn reconciles_with_log() {
    let mut recent = RecentPrograms::default();
    let params = AdmissionParams {
        service: name("engines"),
        route: name("chat"),
        patience: 3_000,
        ..AdmissionParams::default()
    };
    recent.advance(1_000);
    for program in ["a", "b"] {
        recent.begin(&name(program), &name("red"), &name(program), &params);
    }
    let mut admission = ProgramAdmission::default();
    admission.reconcile(at(500), &recent);
    assert_eq!(admission.counts(), (2, 2, 0));
    admission.reconcile(at(500), &recent);
    assert_eq!(admission.counts(), (2, 2, 0));
    recent.finish(&name("a"), &Finish { turn: name("a"), ran: Some(200), ..Finish::default() });
    admission.reconcile(at(600), &recent);
    assert_eq!(admission.counts(), (1, 2, 0));
}

/// Guards against recorded programs that grow without bound or end while a turn is open.
#[test]
fn log_forgets_idle_programs() {
    let mut recent = RecentPrograms::default();
    let params = AdmissionParams { patience: 60_000, ..AdmissionParams::default() };
    recent.begin(&name("idle"), &name("red"), &name("i"), &params);
    recent.begin(&name("open"), &name("red"), &name("o"), &params);
    recent.finish(&name("idle"), &Finish { turn: name("i"), ..Finish::default() });
    recent.advance(20_000);
    assert!(!recent.is_empty() && !recent.is_open(&name("idle"), &name("i")));
    assert!(recent.is_open(&name("open"), &name("o")), "its caller still waits");
    recent.advance(61_000);
    recent.advance(80_000);
    assert!(recent.is_empty());
}

proptest! {
    /// Guards against shares that exceed the capacity, leave demand unserved beside spare capacity, or give one team more at
    /// the cost of another that has less for its weight.
    #[test]
    fn shares_are_max_min_fair(
        capacity in 0.0..500.0_f64,
        claims in prop::collection::vec((0.1..50.0_f64, 0.0..100.0_f64), 1..40),
    ) {
        let mut claims: Vec<Claim> =
            claims.into_iter().map(|(weight, demand)| Claim { weight, demand }).collect();
        let shares = Shares::new(capacity, &mut claims);
        let served: f64 = claims.iter().map(|claim| claim.demand.min(shares.allowed(*claim))).sum();
        let demand: f64 = claims.iter().map(|claim| claim.demand).sum();
        prop_assert!((served - demand.min(capacity)).abs() < 1e-6, "{served} {demand}");
        if let Shares::Level(level) = shares {
            for claim in claims {
                let part = claim.demand.min(shares.allowed(claim)) / claim.weight;
                prop_assert!(part <= level + 1e-9);
            }
        }
    }
}
