//! A trace arranged by program, ready to be driven.

use std::collections::BTreeMap;
use std::sync::Arc;

use agatetrestle::ids::ProgramId;
use agatetrestle::trace::TraceCall;

/// A program of the trace with all its calls.
#[derive(Debug)]
pub struct TracedProgram {
    /// The program.
    pub id: ProgramId,
    /// The outermost program above it, or itself.
    pub root: usize,
    /// The program that started it and the call after which it did.
    pub parent: Option<(usize, u32)>,
    /// Its calls in order.
    pub calls: Vec<TraceCall>,
    /// For each call the full blocks of prompt and answer.
    pub whole: Vec<Arc<[u64]>>,
    /// Sub-agents by the call after which they start.
    pub children: BTreeMap<u32, Vec<usize>>,
}

/// Arranges calls by program, in the order of first calls.
#[must_use]
pub fn arrange(calls: Vec<TraceCall>) -> Vec<TracedProgram> {
    let mut by_program: BTreeMap<ProgramId, Vec<TraceCall>> = BTreeMap::new();
    for call in calls {
        let id = ProgramId { partner: call.partner.clone(), name: call.program.clone() };
        by_program.entry(id).or_default().push(call);
    }
    let mut programs: Vec<TracedProgram> =
        by_program.into_iter().map(|(id, calls)| traced(id, calls)).collect();
    programs.sort_by(|a, b| a.calls[0].arrival.cmp(&b.calls[0].arrival).then(a.id.cmp(&b.id)));
    link(&mut programs);
    programs
}

fn traced(id: ProgramId, mut calls: Vec<TraceCall>) -> TracedProgram {
    calls.sort_by_key(|call| call.call);
    let whole = (0..calls.len()).map(|at| whole_blocks(&calls, at)).collect();
    TracedProgram { id, root: 0, parent: None, calls, whole, children: BTreeMap::new() }
}

fn link(programs: &mut [TracedProgram]) {
    let index: BTreeMap<ProgramId, usize> =
        programs.iter().enumerate().map(|(at, program)| (program.id.clone(), at)).collect();
    for at in 0..programs.len() {
        programs[at].root = at;
        let Some(parent) = programs[at].calls[0].parent.clone() else {
            continue;
        };
        let id = ProgramId { partner: programs[at].id.partner.clone(), name: parent.program };
        let Some(above) = index.get(&id).copied().filter(|above| *above != at) else {
            continue;
        };
        programs[at].parent = Some((above, parent.call));
        programs[above].children.entry(parent.call).or_default().push(at);
    }
    for at in 0..programs.len() {
        let mut root = at;
        for _ in 0..programs.len() {
            let Some((above, _)) = programs[root].parent else {
                break;
            };
            root = above;
        }
        programs[at].root = root;
    }
}

/// The blocks of prompt and answer: the next prompt tells the hashes, or they are made up.
fn whole_blocks(calls: &[TraceCall], at: usize) -> Arc<[u64]> {
    let call = &calls[at];
    if call.block_tokens == 0 {
        return Arc::default();
    }
    let tokens = call.prompt_tokens.saturating_add(call.output);
    let count = usize::try_from(tokens / call.block_tokens).unwrap_or(usize::MAX);
    let next = calls[at + 1..].iter().find(|next| next.blocks.starts_with(&call.blocks));
    let mut blocks = match next {
        Some(next) => next.blocks[..count.min(next.blocks.len())].to_vec(),
        None => call.blocks.to_vec(),
    };
    blocks.truncate(count.max(call.blocks.len()));
    while blocks.len() < count {
        let above = blocks.last().copied().unwrap_or_default();
        blocks.push(crate::random::mix(above ^ u64::from(call.call) ^ fingerprint(&call.program)));
    }
    blocks.into()
}

fn fingerprint(name: &str) -> u64 {
    name.bytes().fold(0, |hash, byte| crate::random::mix(hash ^ u64::from(byte)))
}
