//! Figures of another process as the kernel keeps them.

use std::io;
use std::time::Duration;

/// The kernel counts processor time in hundredths of a second.
const TICK: Duration = Duration::from_millis(10);
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// A process by its number.
#[derive(Clone, Copy, Debug)]
pub struct Process {
    /// Its number.
    pub id: u32,
}

impl Process {
    /// Processor time so far, in the kernel and out of it.
    pub fn cpu(self) -> io::Result<Duration> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id))?;
        let after_name = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<u32>().ok()).unwrap_or(0);
        Ok(TICK * (ticks(USER_TIME) + ticks(SYSTEM_TIME)))
    }

    /// Resident memory in bytes.
    pub fn resident(self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        let kib = line.split_whitespace().next().and_then(|text| text.parse::<u64>().ok());
        Ok(kib.unwrap_or(0) * 1024)
    }
}
