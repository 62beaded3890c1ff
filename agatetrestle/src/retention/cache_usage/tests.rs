//! Tests of the cache usage totals.

use super::*;

#[test]
fn cached_conversation_wastes_only_its_last_turn() {
    let mut usage = CacheUsage::default();
    let mut program = ProgramCacheUsage::default();
    usage.record_call(&mut program, 100, 0, 20);
    usage.record_call(&mut program, 150, 120, 10);
    assert_eq!(usage, CacheUsage { held_tokens: 160, wasted_tokens: 0 });
    usage.record_end(program);
    assert_eq!(usage, CacheUsage { held_tokens: 0, wasted_tokens: 40 });
}

#[test]
fn recomputed_tokens_are_wasted() {
    let mut usage = CacheUsage::default();
    let mut program = ProgramCacheUsage::default();
    usage.record_call(&mut program, 100, 0, 20);
    usage.record_release(&mut program);
    assert_eq!(usage, CacheUsage { held_tokens: 0, wasted_tokens: 0 });
    usage.record_call(&mut program, 150, 0, 10);
    assert_eq!(usage, CacheUsage { held_tokens: 160, wasted_tokens: 120 });
}

#[test]
fn cached_shared_prefix_is_not_wasted() {
    let mut usage = CacheUsage::default();
    let mut program = ProgramCacheUsage::default();
    usage.record_call(&mut program, 100, 80, 5);
    usage.record_end(program);
    assert_eq!(usage, CacheUsage { held_tokens: 0, wasted_tokens: 25 });
}

#[test]
fn counts_programs_separately() {
    let mut usage = CacheUsage::default();
    let (mut first, mut second) = (ProgramCacheUsage::default(), ProgramCacheUsage::default());
    usage.record_call(&mut first, 10, 0, 1);
    usage.record_call(&mut second, 20, 0, 2);
    assert_eq!(usage.held_tokens, 33);
    usage.record_end(first);
    assert_eq!(usage, CacheUsage { held_tokens: 22, wasted_tokens: 11 });
}
