//! Groups the calls of a trace by program.

use std::collections::BTreeMap;
use std::sync::Arc;

use agatetrestle::ids::ProgramId;
use agatetrestle::trace::TraceCall;

/// A program of the trace with all its calls.
#[derive(Debug)]
pub struct TracedProgram {
    /// Id of the program.
    pub id: ProgramId,
    /// Index of the root program, its own without a parent.
    pub root: usize,
    /// Index of the parent program and the number of the call after which this one starts.
    pub parent: Option<(usize, u32)>,
    /// Calls by number.
    pub calls: Vec<TraceCall>,
    /// Full blocks of prompt and answer for each call.
    pub sequences: Vec<Arc<[u64]>>,
    /// Indices of sub-agents by the number of the call after which they start.
    pub children: BTreeMap<u32, Vec<usize>>,
}

/// Groups calls by program, in the order of the first calls.
#[must_use]
pub fn group_by_program(calls: Vec<TraceCall>) -> Vec<TracedProgram> {
    let mut by_program: BTreeMap<ProgramId, Vec<TraceCall>> = BTreeMap::new();
    for call in calls {
        let id = ProgramId { partner: call.partner.clone(), name: call.program.clone() };
        by_program.entry(id).or_default().push(call);
    }
    let mut programs: Vec<TracedProgram> =
        by_program.into_iter().map(|(id, calls)| build_program(id, calls)).collect();
    programs.sort_by(|a, b| a.calls[0].arrival.cmp(&b.calls[0].arrival).then(a.id.cmp(&b.id)));
    link_parents(&mut programs);
    programs
}

fn build_program(id: ProgramId, mut calls: Vec<TraceCall>) -> TracedProgram {
    calls.sort_by_key(|call| call.call);
    let sequences = (0..calls.len()).map(|at| sequence_blocks(&calls, at)).collect();
    TracedProgram { id, root: 0, parent: None, calls, sequences, children: BTreeMap::new() }
}

fn link_parents(programs: &mut [TracedProgram]) {
    let index_by_id: BTreeMap<ProgramId, usize> =
        programs.iter().enumerate().map(|(at, program)| (program.id.clone(), at)).collect();
    for at in 0..programs.len() {
        programs[at].root = at;
        let Some(parent) = programs[at].calls[0].parent.clone() else {
            continue;
        };
        let id = ProgramId { partner: programs[at].id.partner.clone(), name: parent.program };
        let Some(parent_at) = index_by_id.get(&id).copied().filter(|parent_at| *parent_at != at) else {
            continue;
        };
        programs[at].parent = Some((parent_at, parent.call));
        programs[parent_at].children.entry(parent.call).or_default().push(at);
    }
    for at in 0..programs.len() {
        let mut root = at;
        for _ in 0..programs.len() {
            let Some((parent, _)) = programs[root].parent else {
                break;
            };
            root = parent;
        }
        programs[at].root = root;
    }
}

/// Block hashes of prompt and answer, taken from the next prompt and synthesised where it has none.
fn sequence_blocks(calls: &[TraceCall], at: usize) -> Arc<[u64]> {
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
        let previous = blocks.last().copied().unwrap_or_default();
        blocks.push(crate::random::mix(previous ^ u64::from(call.call) ^ name_hash(&call.program)));
    }
    blocks.into()
}

fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0, |hash, byte| crate::random::mix(hash ^ u64::from(byte)))
}
