//! Tests of the account.

use super::*;

#[test]
fn a_conversation_read_from_cache_wastes_only_its_last_turn() {
    let mut account = CacheAccount::default();
    let mut program = ProgramCache::default();
    account.answered(&mut program, 100, 0, 20);
    account.answered(&mut program, 150, 120, 10);
    assert_eq!(account, CacheAccount { held: 160, wasted: 0 });
    account.ended(program);
    assert_eq!(account, CacheAccount { held: 0, wasted: 40 });
}

#[test]
fn what_is_computed_again_is_wasted() {
    let mut account = CacheAccount::default();
    let mut program = ProgramCache::default();
    account.answered(&mut program, 100, 0, 20);
    account.released(&mut program);
    assert_eq!(account, CacheAccount { held: 0, wasted: 0 });
    account.answered(&mut program, 150, 0, 10);
    assert_eq!(account, CacheAccount { held: 160, wasted: 120 });
}

#[test]
fn a_prefix_that_others_put_there_is_not_its_own_waste() {
    let mut account = CacheAccount::default();
    let mut program = ProgramCache::default();
    account.answered(&mut program, 100, 80, 5);
    account.ended(program);
    assert_eq!(account, CacheAccount { held: 0, wasted: 25 });
}

#[test]
fn programs_are_counted_apart() {
    let mut account = CacheAccount::default();
    let (mut first, mut second) = (ProgramCache::default(), ProgramCache::default());
    account.answered(&mut first, 10, 0, 1);
    account.answered(&mut second, 20, 0, 2);
    assert_eq!(account.held, 33);
    account.ended(first);
    assert_eq!(account, CacheAccount { held: 22, wasted: 11 });
}
