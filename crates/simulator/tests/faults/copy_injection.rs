//! Copies of direct commands in the random searches, drawn by seed.

use cluster_simulator::sim::{CommandCopies, World};
use jaspertiller::types::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Injects the copies that are drawn for a seed, and in most runs lets tokens be raised after a few starts. Must be
/// called before the controllers start.
pub(crate) fn inject(world: &mut World, seed: u64) {
    let lease = world.config.timing.lease;
    world.network.command_copies = draw(seed, lease);
    match seed % 4 {
        0 => {}
        1 => world.change_operator_settings(|settings| settings.starts_per_token = 1),
        2 => world.change_operator_settings(|settings| settings.starts_per_token = 2),
        _ => world.change_operator_settings(|settings| settings.starts_per_token = 5),
    }
}

/// Draws copies that are late by a fifth of a second to several leases; `None` in a fifth of the runs, and in all of
/// them if `COMMAND_COPIES=off`.
fn draw(seed: u64, lease: Millis) -> Option<CommandCopies> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xc0b1);
    let off = std::env::var("COMMAND_COPIES").is_ok_and(|value| value == "off");
    if off || rng.random_bool(0.2) {
        return None;
    }
    let leases = rng.random_range(1..5);
    Some(CommandCopies {
        share: rng.random_range(0.05..0.6),
        restart_share: rng.random_range(0.3..0.9),
        delay_ms: 200..leases * lease.0,
        max_copies: rng.random_range(1..4),
    })
}

/// Copies that were carried out in the runs of a search, and how many of the runs had copies.
#[derive(Default)]
pub(crate) struct CopyCount {
    runs: u64,
    copies: u64,
    raised: u64,
}

impl CopyCount {
    /// Counts the copies of the run with a seed.
    pub(crate) fn add(&mut self, world: &World, seed: u64) {
        let injected = draw(seed, world.config.timing.lease).is_some();
        self.runs += u64::from(injected);
        self.copies += world.fault_counts.command_copies;
        self.raised += world.tokens_raised();
    }

    /// Asserts that workers accepted copies, and that tokens were raised, in half of the runs with copies, on average.
    pub(crate) fn assert_observed(&self) {
        let Self {
            runs,
            copies,
            raised,
        } = self;
        println!("{runs} runs with copies: {copies} accepted, {raised} tokens raised");
        assert!(*copies >= *runs / 2, "only {copies} copies in {runs} runs");
        assert!(
            *raised >= *runs / 2,
            "only {raised} tokens raised in {runs} runs"
        );
    }
}
