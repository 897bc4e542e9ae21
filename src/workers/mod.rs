//! A controller's view of the workers: their heartbeats, the commands sent to them, and the evidence of
//! which machine a task is on.
//!
//! [`Machine`] holds the known state of one worker. It is updated by heartbeats, by responses to direct
//! commands and by the statuses of other controllers; [`reconcile`] compares it with the job records.

pub mod client;
pub mod direct;
pub mod direct_channel;
pub mod failures;
pub mod image_cache;
pub mod machine;
pub mod reachability;
pub mod reconcile;
pub mod reported_attempts;
pub mod wire;

pub use direct_channel::DirectChannel;
pub use failures::FailureStreak;
pub use image_cache::{CachedImage, FETCH_TIMEOUT_FACTOR};
pub use machine::Machine;
pub use reported_attempts::{ReportedAttempt, ReportedAttempts};

use crate::types::{MachineId, ShardId, Zone};

/// The shard that a machine belongs to. It depends only on the arguments, so that all controllers with the
/// same `shards_per_zone` agree; 0 counts as 1.
#[must_use]
pub fn shard_of(machine_id: &MachineId, zone: &Zone, shards_per_zone: u32) -> ShardId {
    let name = machine_id.as_str();
    let digits: String = name.chars().filter(char::is_ascii_digit).collect();
    let number: u64 = digits.parse().unwrap_or_else(|_| name_hash(name));
    ShardId {
        zone: zone.clone(),
        index: (number % u64::from(shards_per_zone.max(1))) as u32,
    }
}

/// A polynomial hash, for names without a number or with one that doesn't fit into 64 bits.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    })
}

#[cfg(test)]
mod tests;
