//! Synthetic traces of the two partners' workloads, reproducible from a seed.

use std::sync::Arc;

use agatetrestle::trace::CallKind;
use agatetrestle::trace::Parent;
use agatetrestle::trace::Pause;
use agatetrestle::trace::TraceCall;
use snafu::Snafu;

use crate::engine::decode_cost;
use crate::engine::prefill_cost;
use crate::random::Random;
use crate::random::floor_to_u32;
use crate::random::mix;

const TRACE_BLOCK_TOKENS: u32 = 512;
const MICROS_PER_SECOND: f64 = 1e6;
const MAX_TURNS: u32 = 580;
const MAX_PROMPT_TOKENS: u32 = 280_000;
const EXPECTED_BATCH_SIZE: u64 = 12;
/// Suffix of the names of programs that loop, hang or die, which the statistics list separately.
pub const DEFECT_SUFFIX: &str = "-spoilt";

const SURGE_PROBABILITY: f64 = 0.5;

/// Mix of programs in a trace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Workload {
    /// Replacements, half of them in a morning surge, and weekly planning.
    Vrsta,
    /// Tutoring sessions and the assessment of transcripts.
    Lernwerk,
    /// Both partners in equal parts on one pool.
    Shared,
    /// Both partners on one pool, with ten programs of Lernwerk for each of Vrsta.
    Tenfold,
    /// The programs of Vrsta in [`Workload::Tenfold`], at the same times.
    TenfoldAlone,
    /// Both partners on one pool, with some programs that loop, hang in a tool or die.
    Runaway,
    /// The healthy programs of [`Workload::Runaway`], at the same times.
    RunawayAlone,
}

/// Error for an unknown workload name.
#[derive(Debug, Snafu)]
#[snafu(display("unknown workload {name}; see the help of synth"))]
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

/// Options of a synthetic trace.
#[derive(Clone, Copy, Debug)]
pub struct SynthOptions {
    /// Mix of programs.
    pub workload: Workload,
    /// Number of root programs.
    pub programs: u32,
    /// Offered load in percent of the engines' capacity, assuming that no prompt is computed twice.
    pub load: u32,
    /// Number of engines that `load` refers to.
    pub engines: u32,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Distributions of the programs of one class. A pair is the median and sigma of a log-normal distribution.
struct ClassProfile {
    partner: &'static str,
    team: &'static str,
    class: &'static str,
    system_tokens: u32,
    system_variants: u32,
    first_input_tokens: (f64, f64),
    turns: (f64, f64),
    input_tokens: (f64, f64),
    output_tokens: (f64, f64),
    /// Name, median in seconds and sigma of the duration.
    tools: &'static [(&'static str, f64, f64)],
    long_probability: f64,
    final_service: Option<&'static str>,
    fork_probability: f64,
}

const REPLACEMENT: ClassProfile = ClassProfile {
    partner: "vrsta",
    team: "hospital",
    class: "replacement",
    system_tokens: 2_048,
    system_variants: 3,
    first_input_tokens: (300.0, 0.5),
    turns: (7.0, 0.4),
    input_tokens: (350.0, 0.7),
    output_tokens: (90.0, 0.6),
    tools: &[("rota", 0.8, 0.6), ("message", 25.0, 1.0), ("rota", 0.8, 0.6)],
    long_probability: 0.0,
    final_service: Some("rebook"),
    fork_probability: 0.0,
};

const PLANNING: ClassProfile = ClassProfile {
    partner: "vrsta",
    team: "offices",
    class: "planning",
    system_tokens: 4_096,
    system_variants: 3,
    first_input_tokens: (2_000.0, 0.8),
    turns: (18.0, 0.7),
    input_tokens: (900.0, 0.9),
    output_tokens: (260.0, 0.7),
    tools: &[("rota", 1.5, 0.7), ("solver", 6.0, 0.8), ("planner", 20.0, 0.9)],
    long_probability: 0.01,
    final_service: Some("rebook"),
    fork_probability: 0.1,
};

const TUTOR: ClassProfile = ClassProfile {
    partner: "lernwerk",
    team: "academy",
    class: "tutor",
    system_tokens: 3_072,
    system_variants: 10,
    first_input_tokens: (1_500.0, 0.6),
    turns: (16.0, 0.6),
    input_tokens: (120.0, 0.7),
    output_tokens: (150.0, 0.5),
    tools: &[("trainee", 22.0, 0.8), ("trainee", 22.0, 0.8), ("course", 0.5, 0.5)],
    long_probability: 0.0,
    final_service: Some("progress"),
    fork_probability: 0.0,
};

const ASSESSMENT: ClassProfile = ClassProfile {
    partner: "lernwerk",
    team: "exams",
    class: "assessment",
    system_tokens: 2_048,
    system_variants: 4,
    first_input_tokens: (14_000.0, 0.8),
    turns: (10.0, 0.6),
    input_tokens: (250.0, 0.7),
    output_tokens: (320.0, 0.6),
    tools: &[("rubric", 0.6, 0.6), ("course", 0.5, 0.5), ("archive", 4.0, 1.0)],
    long_probability: 0.01,
    final_service: Some("progress"),
    fork_probability: 0.25,
};

/// Generates a trace.
#[must_use]
pub fn synthesise(synth: &SynthOptions) -> Vec<TraceCall> {
    let mut rng = Random::new(synth.seed, 1);
    let mut programs = Vec::new();
    let mut healthy = Vec::new();
    let mut engine_micros = 0;
    for number in 0..synth.programs {
        let profile = pick_profile(synth.workload, &mut rng);
        let mut builder = ProgramBuilder::new(profile, format!("{}-{number}", profile.class), &mut rng);
        if matches!(synth.workload, Workload::Runaway | Workload::RunawayAlone) {
            builder.inject_defect(number, &mut rng);
        }
        builder.build(&mut rng);
        engine_micros += builder.engine_micros;
        healthy.push(builder.defect == Defect::None);
        programs.push(builder.calls);
    }
    let capacity = u64::from(synth.engines.max(1)) * u64::from(synth.load.max(1));
    if synth.workload == Workload::RunawayAlone {
        let mut healthy = healthy.into_iter();
        programs.iter_mut().filter(|_| healthy.next() == Some(false)).for_each(|calls| calls.truncate(0));
    }
    let mut calls = assign_arrivals(engine_micros * 100 / capacity, &mut rng, programs);
    if synth.workload == Workload::TenfoldAlone {
        calls.retain(|call| call.partner.as_ref() == REPLACEMENT.partner);
    }
    calls
}

fn pick_profile(workload: Workload, rng: &mut Random) -> &'static ClassProfile {
    let draw = rng.next_f64();
    let vrsta = if draw < 0.7 { &REPLACEMENT } else { &PLANNING };
    let lernwerk = if draw < 0.6 { &TUTOR } else { &ASSESSMENT };
    let is_lernwerk = match workload {
        Workload::Vrsta => false,
        Workload::Lernwerk => true,
        Workload::Tenfold | Workload::TenfoldAlone => rng.bernoulli(10.0 / 11.0),
        Workload::Shared | Workload::Runaway | Workload::RunawayAlone => rng.bernoulli(0.5),
    };
    if is_lernwerk { lernwerk } else { vrsta }
}

fn assign_arrivals(window: u64, rng: &mut Random, programs: Vec<Vec<TraceCall>>) -> Vec<TraceCall> {
    let window = micros_to_seconds(window).max(1.0);
    let mut calls = Vec::new();
    for program in programs {
        let class = program.first().map(|call| call.class.as_ref());
        let surge = class == Some("replacement") && rng.bernoulli(SURGE_PROBABILITY);
        let share = if surge { 0.4 + 0.1 * rng.next_f64() } else { rng.next_f64() };
        let arrival = seconds_to_micros(share * window);
        calls.extend(program.into_iter().map(|call| TraceCall { arrival, ..call }));
    }
    calls.sort_by(|a, b| {
        a.arrival.cmp(&b.arrival).then_with(|| a.program.cmp(&b.program)).then(a.call.cmp(&b.call))
    });
    calls
}

fn micros_to_seconds(micros: u64) -> f64 {
    std::time::Duration::from_micros(micros).as_secs_f64()
}

fn seconds_to_micros(seconds: f64) -> u64 {
    u64::from(floor_to_u32(seconds * 1e3)) * 1_000
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Defect {
    None,
    Loops,
    Hangs,
    Dies,
}

struct ProgramBuilder {
    profile: &'static ClassProfile,
    name: String,
    turns: u32,
    long_tail: bool,
    defect: Defect,
    parent: Option<Parent>,
    blocks: Vec<u64>,
    prompt_tokens: u32,
    calls: Vec<TraceCall>,
    engine_micros: u64,
}

impl ProgramBuilder {
    fn new(profile: &'static ClassProfile, name: String, rng: &mut Random) -> Self {
        let long_tail = rng.bernoulli(profile.long_probability);
        let turns = if long_tail {
            floor_to_u32(rng.pareto(80.0, f64::from(MAX_TURNS), 0.9))
        } else {
            floor_to_u32(rng.lognormal(profile.turns.0, profile.turns.1)).clamp(2, 80)
        };
        Self {
            profile,
            name,
            turns,
            long_tail,
            defect: Defect::None,
            parent: None,
            blocks: Vec::new(),
            prompt_tokens: 0,
            calls: Vec::new(),
            engine_micros: 0,
        }
    }

    fn inject_defect(&mut self, number: u32, rng: &mut Random) {
        if !number.is_multiple_of(10) {
            return;
        }
        self.defect = match rng.between(0, 2) {
            0 => Defect::Loops,
            1 => Defect::Hangs,
            _ => Defect::Dies,
        };
        if self.defect == Defect::Loops {
            self.turns = MAX_TURNS;
        }
        self.name.push_str(DEFECT_SUFFIX);
    }

    fn build(&mut self, rng: &mut Random) {
        let system = self.profile.system_tokens;
        let variant = u64::from(rng.between(1, self.profile.system_variants));
        let system_content = content_seed(self.profile.class) ^ variant;
        self.append_content(system, system_content);
        let first_input =
            floor_to_u32(rng.lognormal(self.profile.first_input_tokens.0, self.profile.first_input_tokens.1))
                .max(20);
        let first_input = if self.long_tail { first_input * 4 } else { first_input };
        let content = content_seed(&self.name) ^ rng.next_u64();
        let mut input = first_input.min(120_000);
        let mut children = Vec::new();
        for turn in 0..self.turns {
            self.append_content(input, content ^ u64::from(turn));
            let output =
                floor_to_u32(rng.lognormal(self.profile.output_tokens.0, self.profile.output_tokens.1))
                    .clamp(8, 2_000);
            self.push_model_call(turn, input, output, rng);
            self.append_content(output, content ^ mix(u64::from(turn)));
            input = self.draw_input_tokens(rng);
            if self.prompt_tokens + input + 2_000 > MAX_PROMPT_TOKENS {
                break;
            }
            if turn == 1 && self.parent.is_none() && rng.bernoulli(self.profile.fork_probability) {
                children.extend(self.fork_children(rng));
            }
            if self.defect == Defect::Dies && turn > self.turns / 2 {
                break;
            }
        }
        self.finish(rng);
        self.calls.extend(children);
    }

    fn draw_input_tokens(&self, rng: &mut Random) -> u32 {
        let drawn = floor_to_u32(rng.lognormal(self.profile.input_tokens.0, self.profile.input_tokens.1))
            .clamp(10, 20_000);
        if self.defect == Defect::Loops { 64 } else { drawn }
    }

    fn append_content(&mut self, tokens: u32, content: u64) {
        self.prompt_tokens += tokens;
        let full = usize::try_from(self.prompt_tokens / TRACE_BLOCK_TOKENS).unwrap_or(usize::MAX);
        while self.blocks.len() < full {
            let previous = self.blocks.last().copied().unwrap_or(1);
            self.blocks.push(mix(previous ^ mix(content)));
        }
    }

    fn push_model_call(&mut self, turn: u32, input: u32, output: u32, rng: &mut Random) {
        let pause = (turn > 0).then(|| self.draw_pause(turn, rng));
        let call = self.build_call(CallKind::Model, "shared-model", true, output, pause);
        self.calls.push(call);
        self.engine_micros +=
            u64::from(output) * decode_cost(EXPECTED_BATCH_SIZE) + prefill_cost(input.into());
    }

    fn draw_pause(&self, turn: u32, rng: &mut Random) -> Pause {
        if self.defect == Defect::Hangs && turn == self.turns / 2 + 1 {
            return Pause { tool: "hung".into(), micros: 3_600_000_000 };
        }
        if self.defect == Defect::Loops {
            return Pause { tool: "rota".into(), micros: 200_000 };
        }
        let at = usize::try_from(rng.between(0, 2)).unwrap_or_default();
        let (tool, median, sigma) = self.profile.tools[at];
        let seconds = rng.lognormal(median, sigma).clamp(0.02, 900.0);
        Pause { tool: tool.into(), micros: u64::from(floor_to_u32(seconds * MICROS_PER_SECOND)) }
    }

    fn build_call(
        &self,
        kind: CallKind,
        serves: &str,
        repeatable: bool,
        output: u32,
        pause: Option<Pause>,
    ) -> TraceCall {
        let number = u32::try_from(self.calls.len()).unwrap_or(u32::MAX) + 1;
        let is_model = kind == CallKind::Model;
        TraceCall {
            partner: self.profile.partner.into(),
            program: self.name.as_str().into(),
            team: self.profile.team.into(),
            class: self.profile.class.into(),
            parent: self.parent.clone(),
            call: number,
            last: false,
            kind,
            serves: serves.into(),
            repeatable,
            blocks: if is_model { self.blocks.as_slice().into() } else { Arc::default() },
            block_tokens: if is_model { TRACE_BLOCK_TOKENS } else { 0 },
            prompt_tokens: if is_model { self.prompt_tokens } else { 0 },
            output,
            pause,
            deadline: None,
            arrival: 0,
            ended: false,
        }
    }

    fn fork_children(&mut self, rng: &mut Random) -> Vec<TraceCall> {
        let after = u32::try_from(self.calls.len()).unwrap_or(u32::MAX);
        let mut calls = Vec::new();
        for number in 0..rng.between(2, 4) {
            let mut child = ProgramBuilder::new(self.profile, format!("{}-sub-{number}", self.name), rng);
            child.turns = child.turns.min(8);
            child.long_tail = false;
            child.blocks.clone_from(&self.blocks);
            child.prompt_tokens = self.prompt_tokens;
            child.parent = Some(Parent { program: self.name.as_str().into(), call: after });
            child.build_child(rng);
            self.engine_micros += child.engine_micros;
            calls.extend(child.calls);
        }
        calls
    }

    fn build_child(&mut self, rng: &mut Random) {
        let content = content_seed(&self.name) ^ rng.next_u64();
        for turn in 0..self.turns {
            let input = self.draw_input_tokens(rng);
            self.append_content(input, content ^ u64::from(turn));
            let output =
                floor_to_u32(rng.lognormal(self.profile.output_tokens.0, self.profile.output_tokens.1))
                    .clamp(8, 2_000);
            self.push_model_call(turn, input, output, rng);
            self.append_content(output, content ^ mix(u64::from(turn)));
        }
        self.finish(rng);
    }

    fn finish(&mut self, rng: &mut Random) {
        if let Some(service) = self.profile.final_service
            && self.defect != Defect::Dies
        {
            let micros = floor_to_u32(rng.lognormal(60_000.0, 0.5)).clamp(5_000, 2_000_000);
            let call = self.build_call(CallKind::Service, service, false, micros, None);
            self.calls.push(call);
        }
        let reports_end = self.defect != Defect::Dies;
        if let Some(call) = self.calls.last_mut() {
            call.last = true;
            call.ended = reports_end;
        }
    }
}

fn content_seed(name: &str) -> u64 {
    name.bytes().fold(7, |hash, byte| mix(hash ^ u64::from(byte)))
}
