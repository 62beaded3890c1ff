//! Cases of the review. Each starts the processes of a small deployment before stand-ins, and checks one rule.
//!
//! `review-standin CASE RECORD`, in the root of the repository. Ends with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` in the environment nothing is disrupted.

mod case_late_rejection;
mod case_list_entry;
mod case_long_turn;
mod case_unreadable_state;
mod http;
mod servers;
mod system;
mod wire;

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Time after which a case counts as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// What a case found.
pub enum Finding {
    Broken,
    Held,
    /// Why the case could not run.
    Failed(String),
}

/// The lines of a record, with the time since the start.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn add(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines.lock().expect("no thread panics").push(format!("{at:8.3} {}", line.as_ref()));
    }

    /// Adds a line that is shown at once too.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.add(line);
    }

    fn save(&self, path: &Path) {
        let lines = self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let saved =
            std::fs::File::create(path).and_then(|mut file| file.write_all(lines.join("\n").as_bytes()));
        if let Err(error) = saved {
            eprintln!("the record could not be written: {error}");
        }
    }
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        system::end_all();
        std::process::exit(2);
    });
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        system::end_all();
        std::process::exit(2);
    }));
    let record = Record { started: Instant::now(), lines: Mutex::default() };
    let run = match case.as_str() {
        "late-rejection" => case_late_rejection::run,
        "long-turn" => case_long_turn::run,
        "list-entry" => case_list_entry::run,
        "unreadable-state" => case_unreadable_state::run,
        _ => {
            eprintln!("there is no such case");
            return ExitCode::from(2);
        }
    };
    record.say(format!("case={case} trouble={has_trouble}"));
    let finding = run(&record, has_trouble);
    let code = match finding {
        Finding::Broken => {
            record.say("finding: the rule was broken");
            1
        }
        Finding::Held => {
            record.say("finding: the rule held");
            0
        }
        Finding::Failed(reason) => {
            record.say(format!("finding: the case could not run: {reason}"));
            2
        }
    };
    record.save(Path::new(&path));
    system::end_all();
    ExitCode::from(code)
}

#[cfg(test)]
fn script_holds(case: u8) -> bool {
    let status = std::process::Command::new(format!("../{case}/run.sh")).status();
    status.expect("the script can be run").success()
}

/// The day of case 1, on the users' bench. Two stores lose their disks while links lose packets.
#[test]
fn state_group_survives_two_disk_losses_on_lossy_links() {
    for seed in ["1", "2", "3"] {
        let bench = "../given/kit/more/system/bin/fleetbench";
        let site = "../given/kit/more/system/sites/lernwerk-prod.toml";
        let output = std::process::Command::new(bench)
            .args(["run", site, "review/1/day.toml", "--seed", seed, "--why", "review, case 1"])
            .current_dir("../..")
            .output();
        let output = output.expect("the bench can be run").stdout;
        let text = String::from_utf8_lossy(&output);
        assert!(!text.contains("rules broken"), "seed {seed}:\n{text}");
    }
}
