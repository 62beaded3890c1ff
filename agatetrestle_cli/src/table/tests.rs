//! Tests of the tables.

use super::*;
use crate::rows::DrainRow;

#[test]
fn columns_are_as_wide_as_their_widest_cell() {
    let rows = [
        DrainRow { name: "engine-with-a-long-name".into(), incarnation: 0 },
        DrainRow { name: "vm-é".into(), incarnation: 12 },
    ];
    insta::assert_snapshot!(table(&rows));
}

#[test]
fn no_rows_leave_the_heads() {
    assert_eq!(table::<DrainRow>(&[]), "LEAVING  INCARNATION\n");
}
