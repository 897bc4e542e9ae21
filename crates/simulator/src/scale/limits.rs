//! What a run needs of this machine's open files, ports and memory, against what is granted. No limit is changed.

use std::fs;

use super::ScaleSettings;

/// Open files and ports that a run needs beside those of its workers.
const OTHER_SOCKETS: u64 = 2_000;
/// Megabytes of a controller, at the most.
const CONTROLLER_MB: u64 = 250;
/// Kilobytes of a simulated worker with its connections, at the most.
const WORKER_KB: u64 = 250;
/// Megabytes of this program beside its workers.
const OTHER_MB: u64 = 500;
/// A run may take one of so many equal parts of this machine's memory.
const MEMORY_DIVISOR: u64 = 2;

/// A resource that a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The resource, in the plural.
    pub what: &'static str,
    /// The estimate of what the run needs.
    pub needed: u64,
    /// What this machine grants; the largest number if that is unknown.
    pub granted: u64,
}

impl Limit {
    /// Whether the run's need is granted.
    #[must_use]
    pub fn is_sufficient(&self) -> bool {
        self.needed <= self.granted
    }
}

/// All limits of a run.
#[must_use]
pub fn check_limits(settings: &ScaleSettings) -> Vec<Limit> {
    let machines = settings.machines;
    let controllers_mb = settings.controllers * CONTROLLER_MB;
    vec![
        // Each worker has a listener and connections. At 6,900 workers 2.7 open files a worker were the most
        // that a run had in all.
        Limit {
            what: "open files",
            needed: machines * 5 / 2 + OTHER_SOCKETS,
            granted: open_files().unwrap_or(u64::MAX),
        },
        // Each worker has a listener and a connection, and closed connections hold their port for a while.
        Limit {
            what: "ports",
            needed: machines * 3 + OTHER_SOCKETS,
            granted: ports().unwrap_or(u64::MAX),
        },
        Limit {
            what: "megabytes",
            needed: controllers_mb + machines * WORKER_KB / 1_000 + OTHER_MB,
            granted: memory_granted_mb().unwrap_or(u64::MAX),
        },
    ]
}

/// Megabytes of this machine's memory that a run may take; none if the kernel does not say.
pub(super) fn memory_granted_mb() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1_024 / MEMORY_DIVISOR)
}

/// Open files that a process may have.
fn open_files() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/limits").ok()?;
    let line = text
        .lines()
        .find(|line| line.starts_with("Max open files"))?;
    line.split_whitespace().nth(3)?.parse().ok()
}

/// Ports that outgoing connections and listeners on any port may use.
fn ports() -> Option<u64> {
    let text = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").ok()?;
    let mut bounds = text.split_whitespace();
    let first: u64 = bounds.next()?.parse().ok()?;
    let last: u64 = bounds.next()?.parse().ok()?;
    Some(last.saturating_sub(first))
}
