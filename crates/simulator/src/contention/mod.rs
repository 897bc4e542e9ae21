//! A replay of contention in virtual time: eight teams under three levels of nested quotas, on a fleet that has
//! exactly the capacity of the quota tree. Demand rises, falls and exceeds the fleet, phase by phase. The replay
//! measures how far each node's share is from the share that the tree entitles it to.
//!
//! `demand` has the quota tree, the teams and the jobs of each phase; `scenario` builds the simulated world and its
//! faults; `run` plays it and samples; `levels` evaluates the samples. `report` in the binary shows the results.

mod demand;
mod levels;
mod run;
mod scenario;

pub use demand::{STASH_S, TREE, end_s, phases};
pub use levels::{Level, Replay, SETTLE_S, Sample, TOLERANCE};
pub use run::replay;

/// What a replay plays: the kind of quotas, and whether faults strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nested quotas, nothing fails.
    Quiet,
    /// Nested quotas with kills, a cut, an outage and lost answers.
    Faults,
    /// Flat guarantees without a tree on the same load: the baseline.
    Flat,
}

impl Kind {
    /// All kinds, in the order of the table.
    pub const ALL: [Kind; 3] = [Kind::Quiet, Kind::Faults, Kind::Flat];

    /// The name in tables and pages.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Kind::Quiet => "nested, quiet",
            Kind::Faults => "nested, with faults",
            Kind::Flat => "flat, quiet (baseline)",
        }
    }
}

#[cfg(test)]
mod tests;
