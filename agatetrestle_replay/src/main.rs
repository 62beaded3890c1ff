//! Replays recorded traces against the decisions.

fn main() {}
