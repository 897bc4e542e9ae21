//! What every random search injects besides its own faults, drawn by seed, and what it has to observe of that.

use cluster_simulator::sim::World;

use super::copy_injection::{self, CopyCount};
use super::large_gangs::{self, LargeGangCount};
use super::late_answers::{self, LateAnswerCount};

/// Injects what is drawn for a seed. Must be called before the controllers start.
pub(crate) fn inject(world: &mut World, seed: u64) {
    copy_injection::inject(world, seed);
    late_answers::inject(world, seed);
    large_gangs::inject(world, seed);
}

/// What the runs of a search have observed.
#[derive(Default)]
pub(crate) struct Observed {
    copies: CopyCount,
    late_answers: LateAnswerCount,
    large_gangs: LargeGangCount,
}

impl Observed {
    /// Adds the run with a seed.
    pub(crate) fn add(&mut self, world: &World, seed: u64) {
        self.copies.add(world, seed);
        self.late_answers.add(world, seed);
        self.large_gangs.add(world, seed);
    }

    /// Asserts that what was injected took effect.
    pub(crate) fn assert_sufficient(&self) {
        self.copies.assert_observed();
        self.late_answers.assert_observed();
        self.large_gangs.assert_observed();
    }
}
