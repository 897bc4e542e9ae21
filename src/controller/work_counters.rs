//! Counts of the items that a controller examines. They are identical from run to run, so a cost
//! that grows with the size of the fleet rather than with the changes shows here before it shows in
//! durations.

use std::cell::Cell;

/// Number of examined items of one kind. It is incremented through a shared reference, since the
/// steps that count borrow other parts of the controller.
#[derive(Debug, Default)]
pub struct WorkCounter(Cell<u64>);

impl WorkCounter {
    /// Counts `count` more items.
    pub fn add(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }

    /// The count since the controller started.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// What a controller has examined since it started.
#[derive(Debug, Default)]
pub struct WorkCounters {
    /// Scheduling cycles.
    pub cycles: WorkCounter,
    /// Machines that scheduling cycles filtered and scored.
    pub candidates: WorkCounter,
    /// Machines that were examined for preemption.
    pub sites: WorkCounter,
    /// Machines that were examined for whether they can take tasks.
    pub swept: WorkCounter,
    /// Parked jobs for which it was examined whether an event helps them.
    pub parked: WorkCounter,
}

impl WorkCounters {
    /// Each count with its name, for tables and tests.
    #[must_use]
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
