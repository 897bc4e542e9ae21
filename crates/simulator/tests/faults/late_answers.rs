//! Late answers to transactions in the random searches, drawn by seed.

use cluster_simulator::sim::{RandomDelay, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Injects the late answers that are drawn for a seed.
pub(crate) fn inject(world: &mut World, seed: u64) {
    world.store_faults.late_answers = draw(seed);
}

/// Draws answers that are late by up to almost the time limit of a call; `None` in a third of the runs, and in all of
/// them if `LATE_ANSWERS=off`.
fn draw(seed: u64) -> Option<RandomDelay> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x1a7e);
    let off = std::env::var("LATE_ANSWERS").is_ok_and(|value| value == "off");
    if off || rng.random_bool(0.33) {
        return None;
    }
    let longest = if rng.random_bool(0.5) { 600 } else { 2_400 };
    Some(RandomDelay {
        share: rng.random_range(0.1..0.6),
        delay_ms: 50..longest,
    })
}

/// Late answers in the runs of a search, and how many of the runs had them.
#[derive(Default)]
pub(crate) struct LateAnswerCount {
    runs: u64,
    late: u64,
    outdated: u64,
}

impl LateAnswerCount {
    /// Counts the late answers of the run with a seed.
    pub(crate) fn add(&mut self, world: &World, seed: u64) {
        self.runs += u64::from(draw(seed).is_some());
        self.late += world.fault_counts.late_answers;
        self.outdated += world.fault_counts.outdated_answers;
    }

    /// Asserts that a run with late answers had several, and every second one whose records had been changed again, on
    /// average.
    pub(crate) fn assert_observed(&self) {
        let Self {
            runs,
            late,
            outdated,
        } = self;
        println!("{runs} runs with late answers: {late} late, {outdated} outdated");
        assert!(
            *late >= *runs * 4,
            "only {late} late answers in {runs} runs"
        );
        assert!(
            *outdated >= *runs / 2,
            "only {outdated} outdated answers in {runs} runs"
        );
    }
}
