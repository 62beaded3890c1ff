//! The report of the quickstart and its checks.

use std::process::ExitCode;
use std::time::Duration;

/// One turn of the program.
pub struct TurnSummary {
    pub description: String,
    pub node: String,
    pub latency: Duration,
    pub answer: String,
}

/// Turns, token counts and check results of a run.
#[derive(Default)]
pub struct RunReport {
    pub turns: Vec<TurnSummary>,
    pub latency: Duration,
    pub spent: u64,
    pub budget: u64,
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    pub recomputed_tokens: u64,
    checks: Vec<(String, bool)>,
}

impl RunReport {
    /// Records the result of a check.
    pub fn check(&mut self, description: &str, passed: bool) {
        self.checks.push((description.to_owned(), passed));
    }

    /// Prints the report and returns success only if every check passed.
    pub fn print(&self) -> ExitCode {
        for (number, turn) in self.turns.iter().enumerate() {
            println!(
                "{:>2}. {:<34} {:<8} {:>7.1} ms  {}",
                number + 1,
                turn.description,
                turn.node,
                millis(turn.latency),
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
        for (description, passed) in &self.checks {
            println!("{}  {description}", if *passed { "held  " } else { "BROKEN" });
        }
        let all_passed = self.checks.iter().all(|(_, passed)| *passed);
        if all_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
