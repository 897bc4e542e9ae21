//! What a run needs of this machine, against what is granted. No limit is changed.

use std::fs;

use super::ScaleSettings;

/// Open files of this program beside those of workers.
const OTHER_FILES: u64 = 2_000;
/// Memory of a controller, and of a hollow worker with its connections, at the most.
const CONTROLLER_MB: u64 = 250;
const WORKER_KB: u64 = 250;
const OTHER_MB: u64 = 500;
/// Of this machine's memory a run may take this part.
const PART_OF_MEMORY: u64 = 2;

/// Something that a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    pub what: &'static str,
    pub needed: u64,
    pub granted: u64,
}

impl Limit {
    pub fn enough(&self) -> bool {
        self.needed <= self.granted
    }
}

/// Everything that a run needs, and what there is of it.
pub fn check_limits(settings: &ScaleSettings) -> Vec<Limit> {
    let machines = settings.machines;
    vec![
        // Of each worker a listener, and connections: 2.7 in all were the most that were seen at 6,900.
        Limit {
            what: "open files",
            needed: machines * 5 / 2 + OTHER_FILES,
            granted: open_files().unwrap_or(u64::MAX),
        },
        // A listener and a connection, and what closed connections hold for a while.
        Limit {
            what: "ports",
            needed: machines * 3 + OTHER_FILES,
            granted: ports().unwrap_or(u64::MAX),
        },
        Limit {
            what: "megabytes",
            needed: settings.controllers * CONTROLLER_MB + machines * WORKER_KB / 1_000 + OTHER_MB,
            granted: memory_granted_mb().unwrap_or(u64::MAX),
        },
    ]
}

/// The part of this machine's memory that a run may take.
pub(super) fn memory_granted_mb() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1_024 / PART_OF_MEMORY)
}

fn open_files() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/limits").ok()?;
    let line = text
        .lines()
        .find(|line| line.starts_with("Max open files"))?;
    line.split_whitespace().nth(3)?.parse().ok()
}

fn ports() -> Option<u64> {
    let text = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").ok()?;
    let mut bounds = text.split_whitespace();
    let first: u64 = bounds.next()?.parse().ok()?;
    let last: u64 = bounds.next()?.parse().ok()?;
    Some(last.saturating_sub(first))
}
