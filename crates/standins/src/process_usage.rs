//! CPU time and memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Resources used by a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// CPU time of all running threads since their start.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
    /// Number of threads.
    pub threads: usize,
}

impl ProcessUsage {
    /// Reads the usage of a process; all values are zero if it does not exist.
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
