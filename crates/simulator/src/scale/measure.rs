//! The measurements of a scale run: latency histograms, one record per second, and the CPU time, memory and
//! sockets of the processes.

use std::collections::BTreeMap;
use std::fs;

use hdrhistogram::Histogram;

/// The largest value of a histogram, in milliseconds: the length of the longest run. Longer times count as this.
const MAX_TIME_MS: u64 = 600_000;
/// Significant decimal digits of a histogram's values.
const HISTOGRAM_DIGITS: u8 = 3;
/// Clock ticks per second of the kernel's CPU accounting: USER_HZ, which is 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Kilobytes of a memory page, the unit in which the kernel counts resident memory.
const PAGE_KB: u64 = 4;

/// An empty histogram of times in milliseconds.
pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_TIME_MS, HISTOGRAM_DIGITS)
        .unwrap_or_else(|error| unreachable!("constant bounds: {error}"))
}

/// Records a time in milliseconds; one above [`MAX_TIME_MS`] is recorded as that.
pub(super) fn record(histogram: &mut Histogram<u64>, ms: u64) {
    histogram.saturating_record(ms.min(MAX_TIME_MS));
}

/// Resource usage of a process, as the kernel accounts for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessSample {
    /// CPU time since the process started, in seconds.
    pub cpu_s: f64,
    /// Resident memory in megabytes.
    pub memory_mb: f64,
    /// Number of open sockets.
    pub sockets: usize,
    /// Number of threads.
    pub threads: u64,
}

impl ProcessSample {
    /// Samples a process; `None` if it no longer exists or can't be inspected.
    pub(super) fn of(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The process's name may contain spaces and parentheses; the fields after its last parenthesis do not.
        // Counted from 0 after it, 11 and 12 are user and system time, 17 threads, 21 resident pages (proc(5)).
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let number = |index: usize| fields.get(index)?.parse::<u64>().ok();
        let files = fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
        let is_socket = |path: std::path::PathBuf| {
            fs::read_link(path).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
        };
        let sockets = files.flatten().filter(|file| is_socket(file.path()));
        Some(Self {
            cpu_s: (number(11)? + number(12)?) as f64 / TICKS_PER_SECOND,
            threads: number(17)?,
            memory_mb: (number(21)? * PAGE_KB) as f64 / 1_024.0,
            sockets: sockets.count(),
        })
    }
}

/// Measurements of one second of a run.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Seconds from the start of the run to the end of this second.
    pub at: u64,
    /// Tasks that started during the second.
    pub starts: u64,
    /// Tasks running at the end of the second.
    pub running: usize,
    /// Healthy machines at the end of the second.
    pub machines: usize,
    /// Changes that the store committed during the second.
    pub changes: u64,
    /// Requests that the store received during the second.
    pub requests: u64,
    /// Bytes of message bodies between all workers and the controllers, in both directions.
    pub worker_bytes: u64,
    /// CPU cores that each controller used; `None` while it is down and in its first sample after a start.
    pub cores: Vec<Option<f64>>,
    /// Resident memory of each controller in megabytes; 0 while it is down.
    pub memory_mb: Vec<f64>,
    /// Open sockets of each controller; 0 while it is down.
    pub sockets: Vec<usize>,
    /// CPU cores that this process, the simulator, used.
    pub simulator_cores: f64,
    /// Open sockets of this process.
    pub simulator_sockets: usize,
    /// Milliseconds of the longest simulation step: the largest delay that it may have added to responses.
    pub longest_step_ms: u64,
    /// Index of the leading controller; `None` if the store names none.
    pub leader: Option<usize>,
}

/// A notable event of a run, such as a fault.
#[derive(Clone, Debug)]
pub struct Event {
    /// Seconds from the start of the run.
    pub at: u64,
    /// A description for the report.
    pub description: String,
}

/// Job counts of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobCounts {
    /// Jobs that the load plans, including those that an early end of the run left unsent.
    pub sent: usize,
    /// Jobs of which at least one task started.
    pub started: usize,
}

/// The result of a run. All histograms are in milliseconds.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// One record for each sampled second, in order.
    pub seconds: Vec<Second>,
    /// From the planned time of a submission to its response.
    pub submissions: Histogram<u64>,
    /// From the planned time of a poll to its response.
    pub polls: Histogram<u64>,
    /// By class, from the planned time of a job's submission to the start of its first task.
    pub waits: BTreeMap<String, Histogram<u64>>,
    /// Job counts by class.
    pub jobs: BTreeMap<String, JobCounts>,
    /// Submissions that were rejected permanently.
    pub rejected: u64,
    /// Violations of the protocol's invariants; empty if there were none.
    pub violations: Vec<String>,
    /// Indices of controllers that exited without being killed, each once.
    pub exited: Vec<usize>,
    /// Why the run ended before its planned length; `None` if it did not.
    pub stopped_early: Option<String>,
    /// Faults and other notable events, in order.
    pub events: Vec<Event>,
}
