//! Machines that are reachable in one direction only, and whether heartbeats arrive here at all.
//!
//! Machines whose heartbeats arrive while nothing confirms that commands do are probed (`probes`).
//! Machines that answer commands while their heartbeats are lost are evacuated before their lease
//! expires (`evacuation`). [`WorkerContact`] holds the state of heartbeats from all workers.

mod contact;
mod dropped_channels;
mod evacuation;
mod probes;
mod start_counts;

pub(super) use contact::WorkerContact;
pub use start_counts::StartCounts;

#[cfg(test)]
mod tests;
