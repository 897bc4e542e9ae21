//! Workers as a controller sees them: their reports, the commands to them, and the evidence of where a
//! task is.
//!
//! [`Machine`] owns all that is known of one worker. It is filled by heartbeats, by answers to direct
//! commands and by other controllers' statuses; [`reconcile`] compares it with the job records.

pub mod client;
pub mod direct;
pub mod direct_channel;
pub mod failures;
pub mod image_cache;
pub mod machine;
pub mod reachability;
pub mod reconcile;
pub mod wire;

pub use direct_channel::DirectChannel;
pub use failures::FailureStreak;
pub use image_cache::{CachedImage, FETCH_TIMEOUT_FACTOR};
pub use machine::{Machine, TaskObservation};

use crate::types::{MachineId, ShardId, Zone};

/// Which shard of its zone a machine belongs to: fixed by its name, so that all controllers agree.
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

/// A polynomial hash of a name that has no number, or one that is too large.
fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    })
}

#[cfg(test)]
mod tests;
