//! The daemon of agatetrestle.

fn main() {}
