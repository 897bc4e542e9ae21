//! Whether the key-value store can be reached, and what a controller may still do without it.

use super::super::Controller;
use crate::types::Millis;

/// Maximum age of a peer's status: three status intervals, so that one lost message is not taken
/// for an outage.
const MAX_STATUS_AGE: Millis = Millis(3_000);
/// A peer that noticed the loss of the store up to this much later than this controller still
/// counts as affected by the same outage.
const MAX_OUTAGE_SKEW: Millis = Millis(2_500);
/// A controller that has had no answer from the store for this long is not ready, unless all peers
/// report the same outage.
const READINESS_TIMEOUT: Millis = Millis(3_500);

impl Controller {
    /// Time since the key-value store last answered any call of this controller.
    pub(in crate::controller) fn without_store(&self) -> Millis {
        self.now.since(self.store_sync.last_response)
    }

    /// Whether all peers report that they have lost the key-value store too, which indicates an
    /// outage of the store rather than of this controller's connection to it.
    pub(in crate::controller) fn all_peers_lost_store(&self) -> bool {
        let without_store = self.without_store();
        self.settings.members.iter().all(|member| {
            self.peers.statuses.get(&member.label).is_some_and(|peer| {
                let age = self.now.since(peer.received_at);
                age <= MAX_STATUS_AGE && peer.without_store + age + MAX_OUTAGE_SKEW >= without_store
            })
        })
    }

    /// Whether this controller can accept users' requests.
    pub(in crate::controller) fn ready(&self) -> bool {
        let store_lost = self.without_store() > READINESS_TIMEOUT;
        self.store_sync.synced
            && !self.autoscaler.type_specs.is_empty()
            && (!store_lost || self.all_peers_lost_store())
    }

    /// Whether heartbeats may be answered. A controller that lost the store continues to answer for
    /// a while: it reports nothing about its machines' tasks before that is in the store, and a new
    /// holder of its shards presents a higher fencing token to the machines.
    pub(in crate::controller) fn may_answer_heartbeats(&self) -> bool {
        let keep = self.settings.operator.partition_lease_keep;
        self.without_store() < keep || self.all_peers_lost_store()
    }
}
