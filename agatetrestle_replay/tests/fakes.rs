//! The fake engine and its cache do what docs/TRACE.md says of them.

use std::sync::Arc;

use agatetrestle_replay::cache::PrefixCache;
use agatetrestle_replay::engine::Engine;
use agatetrestle_replay::engine::Output;
use agatetrestle_replay::engine::Request;
use agatetrestle_replay::host::HostStore;

fn request(call: u64, blocks: &[u64], output_tokens: u32) -> Request {
    let blocks: Arc<[u64]> = blocks.into();
    let prompt_tokens = u32::try_from(blocks.len()).expect("small") * 256;
    Request {
        call,
        program: 1,
        prompt: blocks.clone(),
        whole: blocks,
        prompt_tokens,
        output_tokens,
        priority: 0,
    }
}

fn run_to_end(engine: &mut Engine, host: &mut HostStore) -> (u64, Vec<u32>) {
    let mut cached = Vec::new();
    let mut now = 0;
    while let Some(at) = engine.wakes_at() {
        now = at;
        for output in engine.advance(at, host) {
            if let Output::Finished { cached_tokens, .. } = output {
                cached.push(cached_tokens);
            }
        }
    }
    (now, cached)
}

#[test]
fn least_recently_used_leaves_are_evicted_first() {
    let mut cache = PrefixCache::new(3);
    cache.insert_pinned(&[1, 2, 3], 1, &[]);
    cache.unpin(&[1, 2, 3]);
    assert_eq!(cache.insert_pinned(&[9], 2, &[]), vec![3]);
    assert_eq!(cache.matching(&[1, 2, 3]), 2);
}

#[test]
fn pinned_blocks_stay() {
    let mut cache = PrefixCache::new(2);
    cache.insert_pinned(&[1, 2], 1, &[]);
    assert!(!cache.fits(&[], 1));
    assert_eq!(cache.insert_pinned(&[3], 2, &[]), Vec::<u64>::new());
    assert_eq!(cache.matching(&[1, 2]), 2);
}

#[test]
fn release_spares_what_others_read() {
    let mut cache = PrefixCache::new(8);
    cache.insert_pinned(&[1, 2], 1, &[]);
    cache.pin_prefix(&[1], 2);
    cache.unpin(&[1, 2]);
    cache.unpin(&[1]);
    assert_eq!(cache.release(&[1, 2], 1), vec![2]);
    assert_eq!(cache.held_alone(1), 0);
}

#[test]
fn a_cached_prompt_is_not_computed_again() {
    let mut host = HostStore::new(0);
    let mut engine = Engine::new(4, 100, 256);
    engine.submit(0, request(1, &[1, 2, 3, 4], 1), &mut host);
    let (first, cached) = run_to_end(&mut engine, &mut host);
    assert_eq!(cached, vec![0]);
    engine.submit(first, request(2, &[1, 2, 3, 4], 1), &mut host);
    let (second, cached) = run_to_end(&mut engine, &mut host);
    assert_eq!(cached, vec![1024]);
    assert!(second - first < first, "{first} {second}");
}

#[test]
fn an_exported_prompt_comes_back_at_a_quarter_of_the_cost() {
    let blocks: Vec<u64> = (1..=40).collect();
    let mut host = HostStore::new(100);
    let mut engine = Engine::new(4, 100, 256);
    engine.submit(0, request(1, &blocks, 1), &mut host);
    let (first, _) = run_to_end(&mut engine, &mut host);
    host.store(&engine.cache.export(&blocks, 1), 1);
    assert_eq!(engine.cache.matching(&blocks), 0);
    engine.import(1);
    engine.submit(first, request(2, &blocks, 1), &mut host);
    let (second, cached) = run_to_end(&mut engine, &mut host);
    assert_eq!(cached, vec![40 * 256]);
    assert!((second - first) * 3 < first, "{first} {second}");
}

#[test]
fn a_batch_is_served_faster_than_one_by_one() {
    let mut host = HostStore::new(0);
    let mut alone = Engine::new(1, 100, 256);
    let mut batched = Engine::new(8, 100, 256);
    for call in 0..8 {
        alone.submit(0, request(call, &[call], 100), &mut host);
        batched.submit(0, request(call, &[call], 100), &mut host);
    }
    let (one_by_one, _) = run_to_end(&mut alone, &mut host);
    let (together, _) = run_to_end(&mut batched, &mut host);
    assert!(together * 4 < one_by_one, "{together} {one_by_one}");
}
