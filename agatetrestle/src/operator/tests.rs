//! Tests of the bounds on connections; the calls are tested with the tool, in `agatetrestle_cli`.

use super::*;

#[test]
fn a_place_is_free_again_once_its_connection_ends() {
    let open = Rc::new(Cell::new(0));
    let first = Place::take(&open);
    let second = Place::take(&open);
    assert_eq!(open.get(), 2);
    drop(first);
    drop(second);
    assert_eq!(open.get(), 0);
}
