//! A simulation of contention in virtual time: eight teams under three levels of nested quotas, on a fleet that has
//! exactly the capacity of the quota tree. Demand rises, falls and exceeds the fleet, phase by phase. The simulation
//! measures how far each node's share is from the share that the tree entitles it to.
//!
//! `demand` has the quota tree, the teams and the jobs of each phase; `scenario` builds the simulated world and its
//! faults; `run` simulates it and takes samples; `evaluation` evaluates the samples. `report` in the binary shows the
//! results.

mod demand;
mod evaluation;
mod run;
mod scenario;

pub use demand::{SAVE_S, TREE, end_s, phases};
pub use evaluation::{ContentionResult, NodeResult, SETTLE_S, Sample, TOLERANCE};
pub use run::simulate;

/// Variant of the simulation: the kind of quotas, and whether faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nested quotas without faults.
    NoFaults,
    /// Nested quotas with controller crashes, a network cut, a store outage and lost store responses.
    Faults,
    /// Flat guarantees without a quota tree, on the same load and without faults: the baseline.
    Flat,
}

impl Kind {
    /// All kinds, in the order of the table.
    pub const ALL: [Kind; 3] = [Kind::NoFaults, Kind::Faults, Kind::Flat];

    /// The variant's name in the table and on the page.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Kind::NoFaults => "nested, no faults",
            Kind::Faults => "nested, with faults",
            Kind::Flat => "flat, no faults (baseline)",
        }
    }
}

#[cfg(test)]
mod tests;
