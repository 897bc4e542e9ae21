//! Keeping machines at work that are cut off from the state service together with their
//! controller.
//!
//! Workers kill their tasks when nobody answers their heartbeats for a lease. Their holder goes on
//! answering, and marks its token as keeping: whoever else a kept worker finds, if its holder
//! crashes, may then renew its lease too, without any commands. For that the holder gives one thing
//! up for good under this token: taking a worker's silence for the end of its lease.

use crate::types::{Millis, WorkerToken};

/// Whether this controller keeps machines, and since when.
#[derive(Debug, Default)]
pub struct PartitionMode {
    since: Option<Millis>,
    /// Since when we seem to be cut off.
    seems: Option<Millis>,
}

/// A process that stood still, or was slow, has answers waiting that it has not read yet.
const MAKE_SURE: Millis = Millis(1_500);

/// What tells whether to keep.
#[derive(Clone, Copy, Debug)]
pub struct Circumstances {
    /// Our lease in the state service is over, by our clock.
    pub lease_over: bool,
    /// All others say that they are without the state service too: an outage, in which leases
    /// stand still.
    pub outage: bool,
    /// We hold machines.
    pub holds: bool,
}

impl PartitionMode {
    pub fn on(&self) -> bool {
        self.since.is_some()
    }

    /// True when keeping begins now.
    pub fn begins(&mut self, seen: Circumstances, now: Millis) -> bool {
        if !seen.lease_over || seen.outage || !seen.holds {
            self.seems = None;
            return false;
        }
        let seems = *self.seems.get_or_insert(now);
        if self.on() || now.since(seems) < MAKE_SURE {
            return false;
        }
        self.since = Some(now);
        true
    }

    /// For how long machines were kept, if it ends now.
    pub fn end(&mut self, now: Millis) -> Option<Millis> {
        self.since.take().map(|since| now.since(since))
    }
}

/// Whether a controller that is not known to hold a worker's shard may renew the worker's lease,
/// without any commands: only if its holder keeps it, and only while we know no better.
pub fn may_renew(worker_token: WorkerToken, cut_off: bool, holder_speaks: bool) -> bool {
    worker_token.is_partitioned() && cut_off && !holder_speaks
}

#[cfg(test)]
mod tests;
