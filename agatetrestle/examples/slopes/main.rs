//! Measures how the cost of each role grows with its size, and carries it to the size that the design must hold.
//!
//! It drives our own state machines and codecs in one process: no nodes, no network. The table that it prints
//! is quoted in docs/CAPACITY.md; run it with `cargo run --release --example slopes`.

#![expect(clippy::cast_precision_loss, reason = "sizes and times stay far below 2^52")]

mod control;
mod fit;
mod ledger;
mod log;
mod members;
mod scheduler;

use fit::Line;

fn main() {
    let (mut lines, _kept) = scheduler::measure();
    lines.extend(ledger::measure());
    lines.extend(log::measure());
    lines.extend(control::measure());
    lines.extend(members::measure());
    print_table(&lines);
}

fn print_table(lines: &[Line]) {
    println!("| what | measured at | slope | fixed part | residual | carried to | result |");
    println!("|---|---|---|---|---|---|---|");
    for line in lines {
        println!("{}", line.row());
    }
}
