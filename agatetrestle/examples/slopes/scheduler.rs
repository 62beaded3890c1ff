//! An entry node's decisions: time by replicas, memory by live programs.

use std::sync::Arc;

use agatetrestle::clock::Timestamp;
use agatetrestle::ids::ProgramId;
use agatetrestle::programs::command::Repeatable;
use agatetrestle::scheduler::Policy;
use agatetrestle::scheduler::Scheduler;
use agatetrestle::scheduler::SchedulerConfig;
use agatetrestle::scheduler::build;
use agatetrestle::scheduler::event::Backend;
use agatetrestle::scheduler::event::Call;
use agatetrestle::scheduler::event::CallId;
use agatetrestle::scheduler::event::Catalog;
use agatetrestle::scheduler::event::Event;
use agatetrestle::scheduler::event::Work;
use agatetrestle_config::declarations::BackendKind;

use crate::fit::Line;
use crate::fit::Unit;
use crate::fit::nanoseconds;
use crate::fit::resident;

const REPLICAS: [u32; 4] = [50, 100, 200, 400];
/// Replicas that a node sees in its region.
const REGION: f64 = 375.0;
const PROGRAMS: [u64; 4] = [1_000, 2_000, 4_000, 8_000];
/// Live programs on one of 400 nodes.
const PER_NODE: f64 = 775.0;
const CALLS: u32 = 4_000;
/// Blocks of 64 tokens of an average history.
const BLOCKS: u64 = 625;

fn catalog(replicas: u32) -> Catalog {
    let backend = |number: u32| Backend {
        name: format!("engine-{number:04}").into(),
        kind: BackendKind::Engine,
        serves: "assistant".into(),
        vm: format!("gpu-{number:04}").into(),
        failure_domain: format!("domain-{}", number % 3).into(),
        slots: 16,
        cache_tokens: 200_000,
    };
    Catalog { backends: (0..replicas).map(backend).collect(), ..Catalog::default() }
}

fn scheduler(replicas: u32) -> Box<dyn Scheduler> {
    let mut scheduler = build(Policy::default(), SchedulerConfig::default(), 7);
    scheduler.step(Timestamp(0), Event::Catalog(Arc::new(catalog(replicas))));
    scheduler
}

fn call(id: u64, program: u64, blocks: &Arc<[u64]>) -> Event {
    let program = ProgramId { partner: "vrsta".into(), name: format!("program-{program}").into() };
    Event::Submit(Call {
        id: CallId(id),
        root: program.clone(),
        program,
        team: "dawn".into(),
        class: "replacement".into(),
        work: Work::Model {
            model: "assistant".into(),
            blocks: blocks.clone(),
            prompt_tokens: 512,
            max_tokens: 256,
        },
        repeatable: Repeatable::Yes,
        deadline: None,
    })
}

fn serve(scheduler: &mut Box<dyn Scheduler>, now: u64, id: u64, program: u64, blocks: &Arc<[u64]>) {
    let decided = scheduler.step(Timestamp(now), call(id, program, blocks));
    assert_eq!(decided.actions.len(), 1);
    scheduler
        .step(Timestamp(now), Event::Finished { call: CallId(id), output_tokens: 200, cached_tokens: 0 });
}

/// Time of a call's decisions by replicas; memory by live programs. The scheduler is returned so that its memory
/// is not taken for that of what is measured next.
pub fn measure() -> (Vec<Line>, Box<dyn Scheduler>) {
    let blocks: Arc<[u64]> = (0..8).collect();
    let time = REPLICAS.map(|replicas| {
        let mut scheduler = scheduler(replicas);
        let time = nanoseconds(3, CALLS, |index| {
            serve(&mut scheduler, u64::from(index), u64::from(index), u64::from(index) % 800, &blocks);
        });
        (f64::from(replicas), time)
    });
    let mut scheduler = scheduler(375);
    let base = resident();
    let mut known = 0;
    let memory = PROGRAMS.map(|programs| {
        for program in known..programs {
            let own: Arc<[u64]> = (0..BLOCKS).map(|block| program * BLOCKS + block).collect();
            serve(&mut scheduler, program, 1_000_000 + program, program, &own);
        }
        known = programs;
        (programs as f64, resident() - base)
    });
    let lines = vec![
        Line {
            what: "entry: decisions about one call",
            unit: Unit::Nanoseconds,
            per: "replica",
            samples: time.to_vec(),
            carried_to: REGION,
        },
        Line {
            what: "entry: scheduler's memory",
            unit: Unit::Bytes,
            per: "live program",
            samples: memory.to_vec(),
            carried_to: PER_NODE,
        },
    ];
    (lines, scheduler)
}
