//! Tests the simulated engine and its cache against docs/TRACE.md.

use std::sync::Arc;

use agatetrestle_replay::cache::PrefixCache;
use agatetrestle_replay::engine::EngineOutput;
use agatetrestle_replay::engine::EngineRequest;
use agatetrestle_replay::engine::SimEngine;
use agatetrestle_replay::host::HostStore;

fn request(call: u64, blocks: &[u64], output_tokens: u32) -> EngineRequest {
    let blocks: Arc<[u64]> = blocks.into();
    let prompt_tokens = u32::try_from(blocks.len()).expect("small") * 256;
    EngineRequest {
        call,
        program: 1,
        prompt: blocks.clone(),
        sequence: blocks,
        prompt_tokens,
        output_tokens,
        priority: 0,
    }
}

fn run_to_end(engine: &mut SimEngine, host: &mut HostStore) -> (u64, Vec<u32>) {
    let mut cached = Vec::new();
    let mut now = 0;
    while let Some(at) = engine.next_wake() {
        now = at;
        for output in engine.advance(at, host) {
            if let EngineOutput::Finished { cached_tokens, .. } = output {
                cached.push(cached_tokens);
            }
        }
    }
    (now, cached)
}

#[test]
fn evicts_least_recently_used_leaves_first() {
    let mut cache = PrefixCache::new(3);
    cache.insert_pinned(&[1, 2, 3], 1, &[]);
    cache.unpin(&[1, 2, 3]);
    assert_eq!(cache.insert_pinned(&[9], 2, &[]), vec![3]);
    assert_eq!(cache.prefix_len(&[1, 2, 3]), 2);
}

#[test]
fn keeps_pinned_blocks() {
    let mut cache = PrefixCache::new(2);
    cache.insert_pinned(&[1, 2], 1, &[]);
    assert!(!cache.fits(&[], 1));
    assert_eq!(cache.insert_pinned(&[3], 2, &[]), Vec::<u64>::new());
    assert_eq!(cache.prefix_len(&[1, 2]), 2);
}

#[test]
fn release_keeps_shared_blocks() {
    let mut cache = PrefixCache::new(8);
    cache.insert_pinned(&[1, 2], 1, &[]);
    cache.pin_prefix(&[1], 2);
    cache.unpin(&[1, 2]);
    cache.unpin(&[1]);
    assert_eq!(cache.release(&[1, 2], 1), vec![2]);
    assert_eq!(cache.exclusive_blocks(1), 0);
}

#[test]
fn reuses_a_cached_prompt() {
    let mut host = HostStore::new(0);
    let mut engine = SimEngine::new(4, 100, 256);
    engine.submit(0, request(1, &[1, 2, 3, 4], 1), &mut host);
    let (first, cached) = run_to_end(&mut engine, &mut host);
    assert_eq!(cached, vec![0]);
    engine.submit(first, request(2, &[1, 2, 3, 4], 1), &mut host);
    let (second, cached) = run_to_end(&mut engine, &mut host);
    assert_eq!(cached, vec![1024]);
    assert!(second - first < first, "{first} {second}");
}

#[test]
fn imports_an_exported_prompt_at_reduced_cost() {
    let blocks: Vec<u64> = (1..=40).collect();
    let mut host = HostStore::new(100);
    let mut engine = SimEngine::new(4, 100, 256);
    engine.submit(0, request(1, &blocks, 1), &mut host);
    let (first, _) = run_to_end(&mut engine, &mut host);
    host.store(&engine.cache.export(&blocks, 1), 1);
    assert_eq!(engine.cache.prefix_len(&blocks), 0);
    engine.import(1);
    engine.submit(first, request(2, &blocks, 1), &mut host);
    let (second, cached) = run_to_end(&mut engine, &mut host);
    assert_eq!(cached, vec![40 * 256]);
    assert!((second - first) * 3 < first, "{first} {second}");
}

#[test]
fn serves_a_batch_faster_than_single_requests() {
    let mut host = HostStore::new(0);
    let mut sequential = SimEngine::new(1, 100, 256);
    let mut batched = SimEngine::new(8, 100, 256);
    for call in 0..8 {
        sequential.submit(0, request(call, &[call], 100), &mut host);
        batched.submit(0, request(call, &[call], 100), &mut host);
    }
    let (sequential_end, _) = run_to_end(&mut sequential, &mut host);
    let (batched_end, _) = run_to_end(&mut batched, &mut host);
    assert!(batched_end * 4 < sequential_end, "{batched_end} {sequential_end}");
}
