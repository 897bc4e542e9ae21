//! Partition mode: a controller that is cut off from the key-value store together with its workers keeps
//! renewing their leases, so that their tasks go on.
//!
//! Workers kill their tasks when no controller answers their heartbeats for the length of a lease. In
//! partition mode the holder of their shard keeps answering, under a token that is marked as partitioned. If
//! the holder crashes, any controller that a worker with such a token reaches may renew the worker's lease too,
//! without commands. In return the holder must never treat a worker's silence under this token as the expiry
//! of its lease.

use crate::types::{Millis, WorkerToken};

/// Whether this controller is in partition mode, and since when.
#[derive(Debug, Default)]
pub struct PartitionMode {
    /// When partition mode was entered.
    entered: Option<Millis>,
    /// Since when the conditions have indicated a partition without interruption.
    suspected_since: Option<Millis>,
}

/// The conditions must last this long before partition mode is entered. A process that was suspended, or slow,
/// finds its lease expired before it has read the store's responses that are already waiting.
const CONFIRMATION_TIME: Millis = Millis(1_500);

/// What decides whether partition mode is entered.
#[derive(Clone, Copy, Debug)]
pub struct PartitionConditions {
    /// This controller's lease in the key-value store has expired, by its own clock.
    pub lease_expired: bool,
    /// All other controllers report that they have lost the store too. In such an outage leases do not
    /// expire, so no workers' leases have to be kept by partition mode.
    pub outage: bool,
    /// This controller holds shards.
    pub holds_shards: bool,
}

impl PartitionConditions {
    /// Whether this controller is cut off from the store together with machines of its shards.
    fn indicate_partition(self) -> bool {
        self.lease_expired && !self.outage && self.holds_shards
    }
}

impl PartitionMode {
    /// Whether this controller is in partition mode.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.entered.is_some()
    }

    /// Updates the mode by the conditions at `now`; true if this call enters partition mode. It never leaves the
    /// mode; [`PartitionMode::leave`] does.
    pub fn update(&mut self, conditions: PartitionConditions, now: Millis) -> bool {
        if !conditions.indicate_partition() {
            self.suspected_since = None;
            return false;
        }
        let suspected_since = *self.suspected_since.get_or_insert(now);
        if self.is_on() || now.since(suspected_since) < CONFIRMATION_TIME {
            return false;
        }
        self.entered = Some(now);
        true
    }

    /// Leaves partition mode, and returns how long it lasted; `None` if it was not on.
    pub fn leave(&mut self, now: Millis) -> Option<Millis> {
        self.entered.take().map(|entered| now.since(entered))
    }
}

/// Whether a controller that is not known to hold a worker's shard may renew the worker's lease, without
/// commands. The worker's token must show that its holder is in partition mode, this controller must be cut off
/// (or have read nothing from the store yet) and so have seen no later holder, and the last known holder must
/// not be in contact.
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
