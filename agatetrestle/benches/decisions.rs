//! Time of a scheduling decision, by the numbers of replicas and of live programs.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use agatetrestle::backends::Instance;
use agatetrestle::clock::Timestamp;
use agatetrestle::dispatch::Decision;
use agatetrestle::dispatch::Dispatch;
use agatetrestle::dispatch::Request;
use agatetrestle::dispatch::RequestOutcome;
use agatetrestle::dispatch::RequestProfile;
use agatetrestle::dispatch::RunProgress;
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
use agatetrestle::scheduler::event::ClassRule;
use agatetrestle::scheduler::event::Event;
use agatetrestle::scheduler::event::Work;
use agatetrestle_config::declarations::BackendKind;
use agatetrestle_config::deployment::Decisions;
use criterion::BenchmarkId;
use criterion::Criterion;

const REPLICA_COUNTS: [u64; 4] = [10, 100, 375, 1_500];
const PROGRAM_COUNTS: [u64; 2] = [800, 8_000];
const BLOCKS_PER_CALL: u64 = 40;
const BLOCK_TOKENS: u32 = 512;
const CALL_INTERVAL: Duration = Duration::from_millis(5);

fn build_catalog(replicas: u64) -> Arc<Catalog> {
    let mut catalog = Catalog::default();
    for number in 0..replicas {
        catalog.backends.push(Backend {
            name: format!("engine-{number}").into(),
            kind: BackendKind::Engine,
            serves: "model".into(),
            vm: format!("vm-{number}").into(),
            failure_domain: format!("domain-{}", number % 3).into(),
            slots: 16,
            cache_tokens: 4_000_000,
        });
    }
    let rule = ClassRule { priority: 5, deadline: None, keepalive: Duration::from_hours(10) };
    catalog.classes.insert(("partner".into(), "class".into()), rule);
    Arc::new(catalog)
}

fn build_call(number: u64, programs: u64) -> Call {
    let program = number % programs;
    let name: Arc<str> = format!("program-{program}").into();
    let id = ProgramId { partner: "partner".into(), name };
    let blocks: Vec<u64> = (0..BLOCKS_PER_CALL)
        .map(|block| (program * BLOCKS_PER_CALL + block).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .collect();
    Call {
        id: CallId(number),
        program: id.clone(),
        root: id,
        team: "team".into(),
        class: "class".into(),
        work: Work::Model {
            model: "model".into(),
            prompt_tokens: u32::try_from(blocks.len()).unwrap_or_default() * BLOCK_TOKENS,
            blocks: blocks.into(),
            max_tokens: 500,
        },
        repeatable: Repeatable::Yes,
        deadline: None,
    }
}

/// A scheduler that has handled one call of each program, with the next call number and the time.
fn warmed_up_scheduler(replicas: u64, programs: u64) -> (Box<dyn Scheduler>, u64, Timestamp) {
    let cfg = SchedulerConfig { repeat_limit: u32::MAX, ..SchedulerConfig::default() };
    let mut scheduler = build(Policy::Adaptive, cfg, 1);
    let mut now = Timestamp(1);
    scheduler.step(now, Event::Catalog(build_catalog(replicas)));
    for number in 0..programs {
        now = now + CALL_INTERVAL;
        run_call(scheduler.as_mut(), build_call(number, programs), now);
    }
    (scheduler, programs, now)
}

/// Runs one call through placement, first token and completion.
fn run_call(scheduler: &mut dyn Scheduler, call: Call, now: Timestamp) {
    let id = call.id;
    black_box(scheduler.step(now, Event::Submit(call)));
    scheduler.step(now, Event::FirstToken(id));
    black_box(scheduler.step(now, Event::Finished { call: id, output_tokens: 100, cached_tokens: 0 }));
}

/// Servers of one service, and the numbers of requests by which an entry knows some of them.
const SERVERS: usize = 10_000;
const KNOWN_BY_REQUESTS: u64 = 500;
/// Interval of an entry's requests in a fleet of 400 entries and 9,600 requests a second.
const REQUEST_INTERVAL_US: u64 = 40_000;

/// Time of a choice among 10,000 servers by a policy, without the completion of the request.
fn choices(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    let instances: Vec<Instance> = (0..SERVERS)
        .map(|number| Instance {
            id: format!("i-{number:05}").into(),
            service: "model".into(),
            version: "v1".into(),
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
            zone: format!("domain-{}", number % 5).into(),
            slots: 6,
            leaving: false,
            born: None,
        })
        .collect();
    for policy in [Decisions::RequestCounts, Decisions::ExpectedTime] {
        let mut dispatch = Dispatch::new("domain-1".into(), 1).with_policy(policy);
        dispatch.replace_instances(Timestamp(0), &instances);
        dispatch.set_memory([("model".into(), 49_000)]);
        let mut ticket = 0;
        let mut step = || -> Duration {
            ticket += 1;
            let now = Timestamp(ticket * REQUEST_INTERVAL_US);
            let request = Request {
                version: None,
                ticket,
                service: "model".into(),
                priority: 1,
                started: true,
                max_wait: Duration::from_secs(1),
                deadline: now + Duration::from_secs(3),
                finish_by: now + Duration::from_secs(3),
                affinity: Some((ticket / 4).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
                excluded: Vec::new(),
                isolated: false,
                profile: RequestProfile {
                    prompt_tokens: Some(2_000),
                    max_tokens: Some(100),
                    ..RequestProfile::default()
                },
            };
            let start = std::time::Instant::now();
            let decisions = black_box(dispatch.submit(now, request));
            let elapsed = start.elapsed();
            for decision in decisions {
                if let Decision::Send { ticket, server } = decision {
                    let outcome = RequestOutcome::Completed(Duration::from_millis(80));
                    let progress = RunProgress { first_byte: None, generated_tokens: 90 };
                    black_box(dispatch.finish_request(now, server, ticket, outcome, progress));
                }
            }
            elapsed
        };
        for _ in 0..KNOWN_BY_REQUESTS {
            step();
        }
        group.bench_function(BenchmarkId::from_parameter(format!("{policy:?}")), |bencher| {
            bencher.iter_custom(|count| (0..count).map(|_| step()).sum());
        });
    }
    group.finish();
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decisions");
    group.sample_size(20);
    group.measurement_time(Duration::from_secs(2));
    group.warm_up_time(Duration::from_millis(500));
    for replicas in REPLICA_COUNTS {
        for programs in PROGRAM_COUNTS {
            let (mut scheduler, mut next, mut now) = warmed_up_scheduler(replicas, programs);
            let name = format!("{replicas} replicas {programs} programs");
            group.bench_function(BenchmarkId::new("place", &name), |bencher| {
                bencher.iter_custom(|count| {
                    let mut elapsed = Duration::ZERO;
                    for _ in 0..count {
                        let call = build_call(next, programs);
                        let id = call.id;
                        next += 1;
                        now = now + CALL_INTERVAL;
                        let start = std::time::Instant::now();
                        black_box(scheduler.step(now, Event::Submit(call)));
                        elapsed += start.elapsed();
                        scheduler.step(now, Event::FirstToken(id));
                        let finished = Event::Finished { call: id, output_tokens: 100, cached_tokens: 0 };
                        scheduler.step(now, finished);
                    }
                    elapsed
                });
            });
            group.bench_function(BenchmarkId::new("whole call", &name), |bencher| {
                bencher.iter_custom(|count| {
                    let calls: Vec<Call> =
                        (0..count).map(|offset| build_call(next + offset, programs)).collect();
                    next += count;
                    let start = std::time::Instant::now();
                    for call in calls {
                        now = now + CALL_INTERVAL;
                        run_call(scheduler.as_mut(), call, now);
                    }
                    start.elapsed()
                });
            });
        }
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decisions(&mut criterion);
    choices(&mut criterion);
    criterion.final_summary();
}
