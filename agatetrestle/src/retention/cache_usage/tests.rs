//! Tests of the account.

use super::*;

#[test]
fn a_conversation_read_from_cache_wastes_only_its_last_turn() {
    let mut account = CacheUsage::default();
    let mut program = ProgramCacheUsage::default();
    account.record_call(&mut program, 100, 0, 20);
    account.record_call(&mut program, 150, 120, 10);
    assert_eq!(account, CacheUsage { held_tokens: 160, wasted_tokens: 0 });
    account.record_end(program);
    assert_eq!(account, CacheUsage { held_tokens: 0, wasted_tokens: 40 });
}

#[test]
fn what_is_computed_again_is_wasted() {
    let mut account = CacheUsage::default();
    let mut program = ProgramCacheUsage::default();
    account.record_call(&mut program, 100, 0, 20);
    account.record_release(&mut program);
    assert_eq!(account, CacheUsage { held_tokens: 0, wasted_tokens: 0 });
    account.record_call(&mut program, 150, 0, 10);
    assert_eq!(account, CacheUsage { held_tokens: 160, wasted_tokens: 120 });
}

#[test]
fn a_prefix_that_others_put_there_is_not_its_own_waste() {
    let mut account = CacheUsage::default();
    let mut program = ProgramCacheUsage::default();
    account.record_call(&mut program, 100, 80, 5);
    account.record_end(program);
    assert_eq!(account, CacheUsage { held_tokens: 0, wasted_tokens: 25 });
}

#[test]
fn programs_are_counted_apart() {
    let mut account = CacheUsage::default();
    let (mut first, mut second) = (ProgramCacheUsage::default(), ProgramCacheUsage::default());
    account.record_call(&mut first, 10, 0, 1);
    account.record_call(&mut second, 20, 0, 2);
    assert_eq!(account.held_tokens, 33);
    account.record_end(first);
    assert_eq!(account, CacheUsage { held_tokens: 22, wasted_tokens: 11 });
}
