//! Synthetic traces of the two partners' workloads; the seed decides every byte.

use std::sync::Arc;

use agatetrestle::trace::CallKind;
use agatetrestle::trace::Parent;
use agatetrestle::trace::Pause;
use agatetrestle::trace::TraceCall;
use snafu::Snafu;

use crate::engine::decode_cost;
use crate::engine::prefill_cost;
use crate::random::Random;
use crate::random::mix;
use crate::random::whole;

const BLOCK_TOKENS: u32 = 512;
const MICROS: f64 = 1e6;
const MAX_TURNS: u32 = 580;
const MAX_HISTORY: u32 = 280_000;
const EXPECTED_BATCH: u64 = 12;
/// Ends the names of programs that loop, hang or die, so that the measures can tell them apart.
pub const SPOILT_SUFFIX: &str = "-spoilt";

const DAWN_SHARE: f64 = 0.5;

/// Which programs a trace holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Workload {
    /// Replacements at dawn beside weekly planning.
    Vrsta,
    /// Tutoring sessions beside the assessment of transcripts.
    Lernwerk,
    /// Both partners on one pool.
    Shared,
    /// Both on one pool, of which Lernwerk offers ten times its usual load.
    Tenfold,
    /// Only what Vrsta offers in that, at the same times.
    TenfoldAlone,
    /// Both on one pool, with programs that loop, hang in a tool or die.
    Runaway,
    /// Only the sound programs of that, at the same times.
    RunawayAlone,
}

/// No workload has this name.
#[derive(Debug, Snafu)]
#[snafu(display("no workload is named {name}; see the help of synth"))]
pub struct UnknownWorkload {
    name: Arc<str>,
}

impl std::str::FromStr for Workload {
    type Err = UnknownWorkload;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "vrsta" => Ok(Self::Vrsta),
            "lernwerk" => Ok(Self::Lernwerk),
            "shared" => Ok(Self::Shared),
            "tenfold" => Ok(Self::Tenfold),
            "tenfold_alone" => Ok(Self::TenfoldAlone),
            "runaway" => Ok(Self::Runaway),
            "runaway_alone" => Ok(Self::RunawayAlone),
            _ => UnknownWorkloadSnafu { name }.fail(),
        }
    }
}

/// What to synthesise.
#[derive(Clone, Copy, Debug)]
pub struct Synth {
    /// Kind of programs.
    pub workload: Workload,
    /// Programs that are no sub-agents.
    pub programs: u32,
    /// Offered work over what the engines can do if nothing is computed twice, in percent.
    pub load: u32,
    /// Engines that the load is meant for.
    pub engines: u32,
    /// Decides everything else.
    pub seed: u64,
}

struct Shape {
    partner: &'static str,
    team: &'static str,
    class: &'static str,
    system: u32,
    variants: u32,
    opening: (f64, f64),
    turns: (f64, f64),
    input: (f64, f64),
    output: (f64, f64),
    tools: &'static [(&'static str, f64, f64)],
    tail: f64,
    order: Option<&'static str>,
    children: f64,
}

const REPLACEMENT: Shape = Shape {
    partner: "vrsta",
    team: "hospital",
    class: "replacement",
    system: 2_048,
    variants: 3,
    opening: (300.0, 0.5),
    turns: (7.0, 0.4),
    input: (350.0, 0.7),
    output: (90.0, 0.6),
    tools: &[("rota", 0.8, 0.6), ("message", 25.0, 1.0), ("rota", 0.8, 0.6)],
    tail: 0.0,
    order: Some("rebook"),
    children: 0.0,
};

const PLANNING: Shape = Shape {
    partner: "vrsta",
    team: "offices",
    class: "planning",
    system: 4_096,
    variants: 3,
    opening: (2_000.0, 0.8),
    turns: (18.0, 0.7),
    input: (900.0, 0.9),
    output: (260.0, 0.7),
    tools: &[("rota", 1.5, 0.7), ("solver", 6.0, 0.8), ("planner", 20.0, 0.9)],
    tail: 0.01,
    order: Some("rebook"),
    children: 0.1,
};

const TUTOR: Shape = Shape {
    partner: "lernwerk",
    team: "academy",
    class: "tutor",
    system: 3_072,
    variants: 10,
    opening: (1_500.0, 0.6),
    turns: (16.0, 0.6),
    input: (120.0, 0.7),
    output: (150.0, 0.5),
    tools: &[("trainee", 22.0, 0.8), ("trainee", 22.0, 0.8), ("course", 0.5, 0.5)],
    tail: 0.0,
    order: Some("progress"),
    children: 0.0,
};

const ASSESSMENT: Shape = Shape {
    partner: "lernwerk",
    team: "exams",
    class: "assessment",
    system: 2_048,
    variants: 4,
    opening: (14_000.0, 0.8),
    turns: (10.0, 0.6),
    input: (250.0, 0.7),
    output: (320.0, 0.6),
    tools: &[("rubric", 0.6, 0.6), ("course", 0.5, 0.5), ("archive", 4.0, 1.0)],
    tail: 0.01,
    order: Some("progress"),
    children: 0.25,
};

/// Makes a trace.
#[must_use]
pub fn synthesise(synth: &Synth) -> Vec<TraceCall> {
    let mut rng = Random::new(synth.seed, 1);
    let mut programs = Vec::new();
    let mut sound = Vec::new();
    let mut work = 0;
    for number in 0..synth.programs {
        let shape = pick(synth.workload, &mut rng);
        let mut builder = Builder::new(shape, format!("{}-{number}", shape.class), &mut rng);
        if matches!(synth.workload, Workload::Runaway | Workload::RunawayAlone) {
            builder.spoil(number, &mut rng);
        }
        builder.build(&mut rng);
        work += builder.work;
        sound.push(builder.spoilt == Spoilt::No);
        programs.push(builder.calls);
    }
    let capacity = u64::from(synth.engines.max(1)) * u64::from(synth.load.max(1));
    if synth.workload == Workload::RunawayAlone {
        let mut sound = sound.into_iter();
        programs.iter_mut().filter(|_| sound.next() == Some(false)).for_each(|calls| calls.truncate(0));
    }
    let mut calls = place_in_time(work * 100 / capacity, &mut rng, programs);
    if synth.workload == Workload::TenfoldAlone {
        calls.retain(|call| call.partner.as_ref() == REPLACEMENT.partner);
    }
    calls
}

fn pick(workload: Workload, rng: &mut Random) -> &'static Shape {
    let dice = rng.unit();
    let vrsta = if dice < 0.7 { &REPLACEMENT } else { &PLANNING };
    let lernwerk = if dice < 0.6 { &TUTOR } else { &ASSESSMENT };
    let coaching = match workload {
        Workload::Vrsta => false,
        Workload::Lernwerk => true,
        Workload::Tenfold | Workload::TenfoldAlone => rng.happens(10.0 / 11.0),
        Workload::Shared | Workload::Runaway | Workload::RunawayAlone => rng.happens(0.5),
    };
    if coaching { lernwerk } else { vrsta }
}

fn place_in_time(window: u64, rng: &mut Random, programs: Vec<Vec<TraceCall>>) -> Vec<TraceCall> {
    let window = to_seconds(window).max(1.0);
    let mut calls = Vec::new();
    for program in programs {
        let class = program.first().map(|call| call.class.as_ref());
        let surge = class == Some("replacement") && rng.happens(DAWN_SHARE);
        let share = if surge { 0.4 + 0.1 * rng.unit() } else { rng.unit() };
        let arrival = from_seconds(share * window);
        calls.extend(program.into_iter().map(|call| TraceCall { arrival, ..call }));
    }
    calls.sort_by(|a, b| {
        a.arrival.cmp(&b.arrival).then_with(|| a.program.cmp(&b.program)).then(a.call.cmp(&b.call))
    });
    calls
}

fn to_seconds(micros: u64) -> f64 {
    std::time::Duration::from_micros(micros).as_secs_f64()
}

fn from_seconds(seconds: f64) -> u64 {
    u64::from(whole(seconds * 1e3)) * 1_000
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Spoilt {
    No,
    Loops,
    Hangs,
    Dies,
}

struct Builder {
    shape: &'static Shape,
    name: String,
    turns: u32,
    long: bool,
    spoilt: Spoilt,
    parent: Option<Parent>,
    blocks: Vec<u64>,
    tokens: u32,
    calls: Vec<TraceCall>,
    work: u64,
}

impl Builder {
    fn new(shape: &'static Shape, name: String, rng: &mut Random) -> Self {
        let long = rng.happens(shape.tail);
        let turns = if long {
            whole(rng.pareto(80.0, f64::from(MAX_TURNS), 0.9))
        } else {
            whole(rng.lognormal(shape.turns.0, shape.turns.1)).clamp(2, 80)
        };
        Self {
            shape,
            name,
            turns,
            long,
            spoilt: Spoilt::No,
            parent: None,
            blocks: Vec::new(),
            tokens: 0,
            calls: Vec::new(),
            work: 0,
        }
    }

    fn spoil(&mut self, number: u32, rng: &mut Random) {
        if !number.is_multiple_of(10) {
            return;
        }
        self.spoilt = match rng.between(0, 2) {
            0 => Spoilt::Loops,
            1 => Spoilt::Hangs,
            _ => Spoilt::Dies,
        };
        if self.spoilt == Spoilt::Loops {
            self.turns = MAX_TURNS;
        }
        self.name.push_str(SPOILT_SUFFIX);
    }

    fn build(&mut self, rng: &mut Random) {
        let system = self.shape.system;
        let variant = u64::from(rng.between(1, self.shape.variants));
        let origin = fingerprint(self.shape.class) ^ variant;
        self.grow(system, origin);
        let opening = whole(rng.lognormal(self.shape.opening.0, self.shape.opening.1)).max(20);
        let opening = if self.long { opening * 4 } else { opening };
        let own = fingerprint(&self.name) ^ rng.bits();
        let mut fresh = opening.min(120_000);
        let mut children = Vec::new();
        for turn in 0..self.turns {
            self.grow(fresh, own ^ u64::from(turn));
            let output = whole(rng.lognormal(self.shape.output.0, self.shape.output.1)).clamp(8, 2_000);
            self.push_model(turn, fresh, output, rng);
            self.grow(output, own ^ mix(u64::from(turn)));
            fresh = self.input(rng);
            if self.tokens + fresh + 2_000 > MAX_HISTORY {
                break;
            }
            if turn == 1 && self.parent.is_none() && rng.happens(self.shape.children) {
                children.extend(self.fork(rng));
            }
            if self.spoilt == Spoilt::Dies && turn > self.turns / 2 {
                break;
            }
        }
        self.finish(rng);
        self.calls.extend(children);
    }

    fn input(&self, rng: &mut Random) -> u32 {
        let drawn = whole(rng.lognormal(self.shape.input.0, self.shape.input.1)).clamp(10, 20_000);
        if self.spoilt == Spoilt::Loops { 64 } else { drawn }
    }

    fn grow(&mut self, tokens: u32, content: u64) {
        self.tokens += tokens;
        let full = usize::try_from(self.tokens / BLOCK_TOKENS).unwrap_or(usize::MAX);
        while self.blocks.len() < full {
            let above = self.blocks.last().copied().unwrap_or(1);
            self.blocks.push(mix(above ^ mix(content)));
        }
    }

    fn push_model(&mut self, turn: u32, fresh: u32, output: u32, rng: &mut Random) {
        let pause = (turn > 0).then(|| self.pause(turn, rng));
        let call = self.call(CallKind::Model, "shared-model", true, output, pause);
        self.calls.push(call);
        self.work += u64::from(output) * decode_cost(EXPECTED_BATCH) + prefill_cost(fresh.into());
    }

    fn pause(&self, turn: u32, rng: &mut Random) -> Pause {
        if self.spoilt == Spoilt::Hangs && turn == self.turns / 2 + 1 {
            return Pause { tool: "hung".into(), micros: 3_600_000_000 };
        }
        if self.spoilt == Spoilt::Loops {
            return Pause { tool: "rota".into(), micros: 200_000 };
        }
        let at = usize::try_from(rng.between(0, 2)).unwrap_or_default();
        let (tool, median, sigma) = self.shape.tools[at];
        let seconds = rng.lognormal(median, sigma).clamp(0.02, 900.0);
        Pause { tool: tool.into(), micros: u64::from(whole(seconds * MICROS)) }
    }

    fn call(
        &self,
        kind: CallKind,
        serves: &str,
        repeatable: bool,
        output: u32,
        pause: Option<Pause>,
    ) -> TraceCall {
        let number = u32::try_from(self.calls.len()).unwrap_or(u32::MAX) + 1;
        let model = kind == CallKind::Model;
        TraceCall {
            partner: self.shape.partner.into(),
            program: self.name.as_str().into(),
            team: self.shape.team.into(),
            class: self.shape.class.into(),
            parent: self.parent.clone(),
            call: number,
            last: false,
            kind,
            serves: serves.into(),
            repeatable,
            blocks: if model { self.blocks.as_slice().into() } else { Arc::default() },
            block_tokens: if model { BLOCK_TOKENS } else { 0 },
            prompt_tokens: if model { self.tokens } else { 0 },
            output,
            pause,
            deadline: None,
            arrival: 0,
            ended: false,
        }
    }

    fn fork(&mut self, rng: &mut Random) -> Vec<TraceCall> {
        let after = u32::try_from(self.calls.len()).unwrap_or(u32::MAX);
        let mut calls = Vec::new();
        for number in 0..rng.between(2, 4) {
            let mut child = Builder::new(self.shape, format!("{}-sub-{number}", self.name), rng);
            child.turns = child.turns.min(8);
            child.long = false;
            child.blocks.clone_from(&self.blocks);
            child.tokens = self.tokens;
            child.parent = Some(Parent { program: self.name.as_str().into(), call: after });
            child.build_forked(rng);
            self.work += child.work;
            calls.extend(child.calls);
        }
        calls
    }

    fn build_forked(&mut self, rng: &mut Random) {
        let own = fingerprint(&self.name) ^ rng.bits();
        for turn in 0..self.turns {
            let fresh = self.input(rng);
            self.grow(fresh, own ^ u64::from(turn));
            let output = whole(rng.lognormal(self.shape.output.0, self.shape.output.1)).clamp(8, 2_000);
            self.push_model(turn, fresh, output, rng);
            self.grow(output, own ^ mix(u64::from(turn)));
        }
        self.finish(rng);
    }

    fn finish(&mut self, rng: &mut Random) {
        if let Some(service) = self.shape.order
            && self.spoilt != Spoilt::Dies
        {
            let micros = whole(rng.lognormal(60_000.0, 0.5)).clamp(5_000, 2_000_000);
            let call = self.call(CallKind::Service, service, false, micros, None);
            self.calls.push(call);
        }
        let told = self.spoilt != Spoilt::Dies;
        if let Some(call) = self.calls.last_mut() {
            call.last = true;
            call.ended = told;
        }
    }
}

fn fingerprint(name: &str) -> u64 {
    name.bytes().fold(7, |hash, byte| mix(hash ^ u64::from(byte)))
}
