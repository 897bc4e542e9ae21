//! Partition mode: a controller that is cut off from the key-value store together with its workers keeps
//! renewing their leases, so that their tasks go on.
//!
//! Workers kill their tasks when no controller answers their heartbeats for the length of a lease. In
//! partition mode their holder goes on answering, under a token that is marked as partitioned. If the holder
//! crashes, any controller that a worker with such a token finds may renew its lease too, without commands.
//! In return the holder may never treat a worker's silence under this token as the expiry of its lease.

use crate::types::{Millis, WorkerToken};

/// Whether this controller is in partition mode, and since when.
#[derive(Debug, Default)]
pub struct PartitionMode {
    /// When partition mode was entered.
    entered: Option<Millis>,
    /// Since when the circumstances have been those of a partition.
    suspected: Option<Millis>,
}

/// The circumstances must last this long before partition mode is entered. A process that was suspended, or
/// slow, finds its lease over before it has read the store's answers that wait for it.
const CONFIRMATION_TIME: Millis = Millis(1_500);

/// What decides whether partition mode is entered.
#[derive(Clone, Copy, Debug)]
pub struct Circumstances {
    /// Our lease in the key-value store is over, by our own clock.
    pub lease_over: bool,
    /// All other controllers report that they have lost the store too. In such an outage leases do not
    /// expire, so nothing has to be kept.
    pub outage: bool,
    /// We hold shards.
    pub holds_shards: bool,
}

impl Circumstances {
    /// Whether we are cut off from the store with machines of ours.
    fn indicate_partition(self) -> bool {
        self.lease_over && !self.outage && self.holds_shards
    }
}

impl PartitionMode {
    /// Whether this controller is in partition mode.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.entered.is_some()
    }

    /// Updates the mode by the circumstances at `now`; true if partition mode is entered with them.
    pub fn update(&mut self, circumstances: Circumstances, now: Millis) -> bool {
        if !circumstances.indicate_partition() {
            self.suspected = None;
            return false;
        }
        let suspected = *self.suspected.get_or_insert(now);
        if self.is_on() || now.since(suspected) < CONFIRMATION_TIME {
            return false;
        }
        self.entered = Some(now);
        true
    }

    /// Leaves partition mode, and returns how long it lasted; none if it was not on.
    pub fn leave(&mut self, now: Millis) -> Option<Millis> {
        self.entered.take().map(|entered| now.since(entered))
    }
}

/// Whether a controller that is not known to hold a worker's shard may renew the worker's lease, without
/// commands: the worker has seen that its holder is in partition mode, this controller is cut off (or has
/// read nothing of the store yet) and so has seen no later holder, and the last known holder is not in contact.
#[must_use]
pub fn may_renew_worker_lease(
    worker_token: WorkerToken,
    cut_off: bool,
    holder_in_contact: bool,
) -> bool {
    worker_token.is_partitioned() && cut_off && !holder_in_contact
}

#[cfg(test)]
mod tests;
