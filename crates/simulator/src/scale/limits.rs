//! Compares the open files, ports and memory that a run needs with what this machine provides. No system limit
//! is changed.

use std::fs;

use super::ScaleSettings;

/// Open files, and likewise ports, that a run needs in addition to those of its workers.
const OTHER_SOCKETS: u64 = 2_000;
/// Upper bound of a controller's memory in megabytes.
const CONTROLLER_MB: u64 = 250;
/// Upper bound of the memory of a simulated worker and its connections, in kilobytes.
const WORKER_KB: u64 = 250;
/// Memory of this process without its simulated workers, in megabytes.
const OTHER_MB: u64 = 500;
/// A run may use the machine's total memory divided by this.
const MEMORY_DIVISOR: u64 = 2;

/// A resource that a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The name of the resource, in the plural.
    pub resource: &'static str,
    /// The estimate of what the run needs.
    pub needed: u64,
    /// What this machine provides for a run; `u64::MAX` if that is unknown.
    pub available: u64,
}

impl Limit {
    /// Whether the available amount covers the estimate.
    #[must_use]
    pub fn is_sufficient(&self) -> bool {
        self.needed <= self.available
    }
}

/// Estimates the needs of a run and compares them with this machine's limits.
#[must_use]
pub fn check_limits(settings: &ScaleSettings) -> Vec<Limit> {
    let machines = settings.machines;
    let controllers_mb = settings.controllers * CONTROLLER_MB;
    vec![
        // Each worker has a listener and connections. A run with 6,900 workers had at most 2.7 open files per
        // worker, counting all open files of the process.
        Limit {
            resource: "open files",
            needed: machines * 5 / 2 + OTHER_SOCKETS,
            available: open_file_limit().unwrap_or(u64::MAX),
        },
        // Each worker has a listener and a connection, and closed connections keep their port for a while.
        Limit {
            resource: "ports",
            needed: machines * 3 + OTHER_SOCKETS,
            available: ephemeral_ports().unwrap_or(u64::MAX),
        },
        Limit {
            resource: "megabytes",
            needed: controllers_mb + machines * WORKER_KB / 1_000 + OTHER_MB,
            available: memory_limit_mb().unwrap_or(u64::MAX),
        },
    ]
}

/// Megabytes of memory that a run may use; `None` if the machine's total memory can't be read.
pub(super) fn memory_limit_mb() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1_024 / MEMORY_DIVISOR)
}

/// The soft limit on open files of this process.
fn open_file_limit() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/limits").ok()?;
    let line = text
        .lines()
        .find(|line| line.starts_with("Max open files"))?;
    line.split_whitespace().nth(3)?.parse().ok()
}

/// Number of ports in the kernel's ephemeral range, which outgoing connections and listeners on port 0 use.
fn ephemeral_ports() -> Option<u64> {
    let text = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").ok()?;
    let mut bounds = text.split_whitespace();
    let first: u64 = bounds.next()?.parse().ok()?;
    let last: u64 = bounds.next()?.parse().ok()?;
    Some(last.saturating_sub(first))
}
