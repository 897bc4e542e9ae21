//! Counts of what a controller looked at: a cost that grows with the fleet rather than with what changes
//! shows here first, and repeats exactly.

use std::cell::Cell;

/// How often something was looked at.
#[derive(Debug, Default)]
pub struct WorkCounter(Cell<u64>);

impl WorkCounter {
    /// Looked at so many more.
    pub fn add(&self, more: usize) {
        self.0.set(self.0.get() + more as u64);
    }

    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// What a controller looked at since it started.
#[derive(Debug, Default)]
pub struct WorkCounters {
    /// Cycles that were run.
    pub cycles: WorkCounter,
    /// Machines that cycles filtered and scored.
    pub candidates: WorkCounter,
    /// Machines on which room might be made.
    pub sites: WorkCounter,
    /// Machines looked over for whether they can take tasks.
    pub swept: WorkCounter,
    /// Parked jobs that were asked whether an event helps them.
    pub parked: WorkCounter,
}

impl WorkCounters {
    /// Each count under its name, for tables and tests.
    pub fn rows(&self) -> [(&'static str, u64); 5] {
        [
            ("cycles", self.cycles.get()),
            ("candidates", self.candidates.get()),
            ("sites", self.sites.get()),
            ("swept", self.swept.get()),
            ("parked", self.parked.get()),
        ]
    }
}
