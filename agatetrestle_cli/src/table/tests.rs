//! Tests of table formatting.

use super::*;
use crate::rows::DrainRow;

#[test]
fn column_width_fits_widest_cell() {
    let rows = [
        DrainRow { name: "engine-with-a-long-name".into(), incarnation: 0 },
        DrainRow { name: "vm-é".into(), incarnation: 12 },
    ];
    insta::assert_snapshot!(table(&rows));
}

#[test]
fn empty_table_prints_headers() {
    assert_eq!(table::<DrainRow>(&[]), "LEAVING  INCARNATION\n");
}
