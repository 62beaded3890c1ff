//! Processor time and memory of another process, read from `/proc`.

use std::io;
use std::time::Duration;

/// Clock tick of the processor times in `/proc`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Positions of `utime` and `stime` after the command name in `/proc/PID/stat`.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// A process to observe.
#[derive(Clone, Copy, Debug)]
pub struct ObservedProcess {
    /// Process id.
    pub id: u32,
}

impl ObservedProcess {
    /// Total processor time in user and kernel mode.
    pub fn cpu(self) -> io::Result<Duration> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id))?;
        let after_name = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<u32>().ok()).unwrap_or(0);
        Ok(CLOCK_TICK * (ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)))
    }

    /// Resident memory in bytes.
    pub fn resident(self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        let kib = line.split_whitespace().next().and_then(|text| text.parse::<u64>().ok());
        Ok(kib.unwrap_or(0) * 1024)
    }
}
