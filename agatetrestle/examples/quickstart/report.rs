//! What the quickstart prints and checks.

use std::process::ExitCode;
use std::time::Duration;

/// One turn of the program.
pub struct Turn {
    pub what: String,
    pub node: String,
    pub took: Duration,
    pub answer: String,
}

/// Everything that was seen, with the checks.
#[derive(Default)]
pub struct Report {
    pub turns: Vec<Turn>,
    pub latency: Duration,
    pub spent: u64,
    pub budget: u64,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    pub recomputed_tokens: u64,
    checks: Vec<(String, bool)>,
}

impl Report {
    /// Notes whether a promise was kept.
    pub fn check(&mut self, promise: &str, kept: bool) {
        self.checks.push((promise.to_owned(), kept));
    }

    /// Prints everything; succeeds only if every check held.
    pub fn conclude(&self) -> ExitCode {
        for (number, turn) in self.turns.iter().enumerate() {
            println!(
                "{:>2}. {:<34} {:<8} {:>7.1} ms  {}",
                number + 1,
                turn.what,
                turn.node,
                millis(turn.took),
                turn.answer
            );
        }
        println!();
        println!("program latency  {:.1} ms", millis(self.latency));
        println!("spent            {} of {} tokens", self.spent, self.budget);
        println!(
            "prompt tokens    {}, of which {} were read from cache",
            self.prompt_tokens, self.cached_tokens
        );
        println!("wasted cache     {} tokens were computed again", self.recomputed_tokens);
        println!();
        for (promise, kept) in &self.checks {
            println!("{}  {promise}", if *kept { "held  " } else { "BROKEN" });
        }
        let all = self.checks.iter().all(|(_, kept)| *kept);
        if all { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}
