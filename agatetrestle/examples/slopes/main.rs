//! Measures how the cost of each role grows with its size, and extrapolates it to the size that the design targets.
//!
//! Drives the state machines and codecs in one process, without nodes or network. Run it with
//! `cargo run --release --example slopes`; docs/CAPACITY.md quotes the table that it prints.

#![expect(clippy::cast_precision_loss, reason = "sizes and times stay far below 2^52")]

mod control;
mod fit;
mod ledger;
mod log;
mod members;
mod scheduler;

use fit::ScalingFit;

fn main() {
    let (mut fits, _scheduler) = scheduler::measure();
    fits.extend(ledger::measure());
    fits.extend(log::measure());
    fits.extend(control::measure());
    fits.extend(members::measure());
    print_table(&fits);
}

fn print_table(fits: &[ScalingFit]) {
    println!("| what | measured at | slope | fixed part | residual | carried to | result |");
    println!("|---|---|---|---|---|---|---|");
    for fit in fits {
        println!("{}", fit.row());
    }
}
