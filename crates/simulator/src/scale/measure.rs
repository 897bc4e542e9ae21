//! What a scale run measures: histograms, a row a second, and processes' use of processor, memory and sockets.

use std::collections::BTreeMap;
use std::fs;

use hdrhistogram::Histogram;

/// Times are kept in milliseconds up to this many.
const LONGEST_MS: u64 = 600_000;
/// Digits that histograms keep.
const DIGITS: u8 = 3;
/// Clock ticks of the kernel's accounting a second.
const TICKS_A_SECOND: f64 = 100.0;
const PAGE_KB: u64 = 4;

pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_MS, DIGITS)
        .unwrap_or_else(|error| unreachable!("constant bounds: {error}"))
}

/// Records a time, the longest if it is beyond that.
pub(super) fn record(histogram: &mut Histogram<u64>, ms: u64) {
    histogram.saturating_record(ms.min(LONGEST_MS));
}

/// A process as the kernel accounts for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessSample {
    /// Seconds of processor so far.
    pub cpu_s: f64,
    pub memory_mb: f64,
    pub sockets: usize,
    pub threads: u64,
}

impl ProcessSample {
    /// None if the process is gone.
    pub(super) fn of(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name may hold spaces; what follows its parenthesis does not.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let number = |index: usize| fields.get(index)?.parse::<u64>().ok();
        let files = fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
        let is_socket = |path: std::path::PathBuf| {
            fs::read_link(path).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
        };
        let sockets = files.flatten().filter(|file| is_socket(file.path()));
        Some(Self {
            cpu_s: (number(11)? + number(12)?) as f64 / TICKS_A_SECOND,
            threads: number(17)?,
            memory_mb: (number(21)? * PAGE_KB) as f64 / 1_024.0,
            sockets: sockets.count(),
        })
    }
}

/// One second of a run.
#[derive(Clone, Debug, Default)]
pub struct Second {
    pub at: u64,
    pub starts: u64,
    pub running: usize,
    pub machines: usize,
    pub changes: u64,
    pub requests: u64,
    /// Of all workers, in both directions.
    pub worker_bytes: u64,
    /// Part of a core by controller, none while it is down.
    pub cores: Vec<Option<f64>>,
    pub memory_mb: Vec<f64>,
    pub sockets: Vec<usize>,
    /// Of this program: the stand-ins.
    pub stand_in_cores: f64,
    pub stand_in_sockets: usize,
    /// The longest step of the stand-ins in this second: how late they may have been.
    pub longest_step_ms: u64,
    pub leader: Option<usize>,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub seconds: Vec<Second>,
    /// Times from when a submission was meant to be sent until it was answered.
    pub submissions: Histogram<u64>,
    pub polls: Histogram<u64>,
    /// Waits by class, from when the job was meant to be submitted until its first task ran.
    pub waits: BTreeMap<String, Histogram<u64>>,
    /// Jobs by class, and how many of them started.
    pub jobs: BTreeMap<String, (usize, usize)>,
    pub refused: u64,
    pub broken: Vec<String>,
    pub ended_by_themselves: Vec<usize>,
    pub stopped_early: Option<String>,
    /// What happened, and when.
    pub events: Vec<(u64, String)>,
}
