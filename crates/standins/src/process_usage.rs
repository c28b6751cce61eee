//! Processor time and memory of a process.

use std::fs;
use std::time::Duration;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// Processor time of all threads since the start.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
    /// Threads.
    pub threads: usize,
}

impl ProcessUsage {
    /// Reads the usage of a running process; zeros if it is gone.
    pub fn read(pid: u32) -> Self {
        let mut usage = Self::default();
        for task in fs::read_dir(format!("/proc/{pid}/task"))
            .into_iter()
            .flatten()
            .flatten()
        {
            let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            let nanos = text
                .split(' ')
                .next()
                .and_then(|field| field.parse().ok())
                .unwrap_or(0);
            usage.cpu += Duration::from_nanos(nanos);
            usage.threads += 1;
        }
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        usage.memory = kilobytes.unwrap_or(0) * 1024;
        usage
    }
}
