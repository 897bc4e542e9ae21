//! What a scale run measures: histograms of times, one row a second, and the processes' use of processor, memory
//! and sockets.

use std::collections::BTreeMap;
use std::fs;

use hdrhistogram::Histogram;

/// Milliseconds of the longest time that histograms tell from longer ones: that of the longest run.
const MAX_TIME_MS: u64 = 600_000;
/// Significant digits that histograms keep.
const HISTOGRAM_DIGITS: u8 = 3;
/// Clock ticks a second of the kernel's processor accounting: USER_HZ, which is 100 on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Kilobytes of a page, in which the kernel counts resident memory.
const PAGE_KB: u64 = 4;

/// An empty histogram of times in milliseconds.
pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_TIME_MS, HISTOGRAM_DIGITS)
        .unwrap_or_else(|error| unreachable!("constant bounds: {error}"))
}

/// Records a time; one beyond the longest counts as the longest.
pub(super) fn record(histogram: &mut Histogram<u64>, ms: u64) {
    histogram.saturating_record(ms.min(MAX_TIME_MS));
}

/// A process's use of the machine, by the kernel's accounting.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessSample {
    /// Seconds of processor time since the process began.
    pub cpu_s: f64,
    /// Megabytes of resident memory.
    pub memory_mb: f64,
    /// Open sockets.
    pub sockets: usize,
    /// Threads.
    pub threads: u64,
}

impl ProcessSample {
    /// Samples a process; none if it is gone.
    pub(super) fn of(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The process's name may hold spaces and parentheses; the fields after its last parenthesis do not.
        // Of them 11 and 12 are user and system time, 17 the threads, 21 the resident pages (proc(5)).
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

/// One second of a run.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Seconds from the beginning of the run to this second's end.
    pub at: u64,
    /// Tasks that started.
    pub starts: u64,
    /// Tasks that run at its end.
    pub running: usize,
    /// Machines that are up at its end.
    pub machines: usize,
    /// Changes that the store committed.
    pub changes: u64,
    /// Requests that the store received.
    pub requests: u64,
    /// Bytes between all workers and the controllers, in both directions.
    pub worker_bytes: u64,
    /// Cores that each controller used; none while it is down.
    pub cores: Vec<Option<f64>>,
    /// Megabytes of each controller.
    pub memory_mb: Vec<f64>,
    /// Open sockets of each controller.
    pub sockets: Vec<usize>,
    /// Cores that this program, which plays the stand-ins, used.
    pub stand_in_cores: f64,
    /// Open sockets of this program.
    pub stand_in_sockets: usize,
    /// Milliseconds of the longest step of the stand-ins: how late their answers may have been.
    pub longest_step_ms: u64,
    /// The index of the leader, if there is one.
    pub leader: Option<usize>,
}

/// Something that happened in a run.
#[derive(Clone, Debug)]
pub struct Event {
    /// Seconds from the beginning of the run.
    pub at: u64,
    /// A description for the report.
    pub what: String,
}

/// Jobs of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobCounts {
    /// Jobs of the load.
    pub sent: usize,
    /// Jobs of which at least one task ran.
    pub started: usize,
}

/// The result of a run. All times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The run's seconds, in order.
    pub seconds: Vec<Second>,
    /// From the planned time of a submission to its answer.
    pub submissions: Histogram<u64>,
    /// From the planned time of a poll to its answer.
    pub polls: Histogram<u64>,
    /// By class, from the planned time of a job's submission until its first task ran.
    pub waits: BTreeMap<String, Histogram<u64>>,
    /// By class, how many jobs were sent and started.
    pub jobs: BTreeMap<String, JobCounts>,
    /// Submissions that were refused for good.
    pub refused: u64,
    /// The protocol's rules that were broken, and how.
    pub violations: Vec<String>,
    /// Controllers that exited without being killed.
    pub exited: Vec<usize>,
    /// Why the run ended before its time, if it did.
    pub stopped_early: Option<String>,
    /// Faults and what else happened, in order.
    pub events: Vec<Event>,
}
