//! Leases: which controllers are running, which one is the leader, and which one holds each shard.
//!
//! Each controller has one lease in the key-value store. Its own record, its leadership and its shards are
//! attached to it, so one renewal keeps all of them and the expiry of the lease deletes all of them.
//! [`Leases`] is the cache of these records; it does no I/O.

mod assignment;
mod records;

use std::collections::{BTreeMap, VecDeque};

use serde::Deserialize;

use crate::types::{ControllerId, FencingToken, LeaseId, Millis, Revision, ShardId};
pub use assignment::desired_assignment;
pub use records::{
    CONTROLLER_PREFIX, ControllerRecord, LEADER_KEY, LeaderRecord, SHARD_PREFIX, ShardRecord,
    Tenure, controller_key, shard_key,
};

/// The holder of a shard, as its record shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardHolder {
    /// The controller that holds the shard.
    pub controller: ControllerId,
    /// The fencing tokens under which it holds the shard.
    pub tenure: Tenure,
}

/// The lease of this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnLease {
    /// The controller has no lease.
    None,
    /// The controller has requested a lease and waits for the response.
    Requested,
    /// The controller holds a lease.
    Held {
        /// The lease.
        lease_id: LeaseId,
        /// The lease lasts at least until this time on this controller's clock.
        expires_at: Millis,
    },
}

/// The cache of all leases: this controller's own, and the records that are attached to leases.
#[derive(Debug)]
pub struct Leases {
    /// The lease of this controller.
    pub own: OwnLease,
    /// The next renewal of this controller's lease is due one renewal interval after this time.
    pub renewal_base: Millis,
    /// The record of each running controller, and its version.
    pub controllers: BTreeMap<ControllerId, (ControllerRecord, Revision)>,
    /// The leader, and the version of its record.
    pub leader: Option<(ControllerId, Revision)>,
    /// The holder of each shard.
    pub shards: BTreeMap<ShardId, ShardHolder>,
    /// Leases whose controller's record was deleted or replaced, which shows that their processes have ended;
    /// oldest first.
    ended: VecDeque<LeaseId>,
}

/// How many ended leases are remembered. They are needed only while messages of their processes may still
/// arrive.
const MAX_ENDED_LEASES: usize = 256;

impl Default for Leases {
    fn default() -> Self {
        Self {
            own: OwnLease::None,
            renewal_base: Millis(0),
            controllers: BTreeMap::new(),
            leader: None,
            shards: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }
}

/// What changed when a record was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// The record of the controller with this id.
    Controller(ControllerId),
    /// The leader.
    Leader,
    /// The holder of this shard.
    Shard(ShardId),
    /// The holder of this shard has raised its fencing token.
    Token(ShardId),
}

/// Parses a stored record; `None` if it was deleted or is invalid.
fn decode<'a, T: Deserialize<'a>>(data: Option<&'a str>) -> Option<T> {
    data.and_then(|text| serde_json::from_str(text).ok())
}

impl Leases {
    /// The lease that this controller holds; `None` if it has none or is still requesting one.
    #[must_use]
    pub fn lease_id(&self) -> Option<LeaseId> {
        match self.own {
            OwnLease::Held { lease_id, .. } => Some(lease_id),
            _ => None,
        }
    }

    /// Whether the process with this lease is known to have ended, so that its messages are outdated.
    #[must_use]
    pub fn has_ended(&self, lease_id: LeaseId) -> bool {
        self.ended.contains(&lease_id)
    }

    fn remember_ended(&mut self, lease_id: LeaseId) {
        self.ended.push_back(lease_id);
        if self.ended.len() > MAX_ENDED_LEASES {
            self.ended.pop_front();
        }
    }

    /// Whether a record was written by an earlier process with this controller's label.
    fn is_of_earlier_process(
        &self,
        holder: &ControllerId,
        lease_id: LeaseId,
        self_id: &ControllerId,
    ) -> bool {
        holder == self_id && self.lease_id() != Some(lease_id)
    }

    /// The tenure of a shard, if this controller holds the shard.
    #[must_use]
    pub fn held_tenure(&self, shard: &ShardId, self_id: &ControllerId) -> Option<Tenure> {
        let holder = self.shards.get(shard)?;
        (holder.controller == *self_id).then_some(holder.tenure)
    }

    /// The fencing token of a shard, if this controller holds the shard.
    #[must_use]
    pub fn held_token(&self, shard: &ShardId, self_id: &ControllerId) -> Option<FencingToken> {
        let tenure = self.held_tenure(shard, self_id)?;
        Some(tenure.token)
    }

    /// The revision at which this controller acquired the leadership, if it is the leader.
    #[must_use]
    pub fn leadership_revision(&self, self_id: &ControllerId) -> Option<Revision> {
        let (leader, version) = self.leader.as_ref()?;
        (leader == self_id).then_some(*version)
    }

    /// Applies a peer's message that the peer holds a shard. Returns true, and caches the peer as the holder, if
    /// its fencing token is higher than that of another known holder; the watch delivers the record later.
    pub fn supersede(
        &mut self,
        shard: &ShardId,
        holder: &ControllerId,
        token: FencingToken,
    ) -> bool {
        match self.shards.get_mut(shard) {
            Some(known) if known.tenure.token < token && known.controller != *holder => {
                known.controller = holder.clone();
                // The record may show later that the holder acquired the shard under a lower token.
                known.tenure = Tenure::new(token);
                true
            }
            _ => false,
        }
    }

    /// Drops this controller's lease after its expiry, and with it the leadership and the shards. The watch may
    /// report these deletions later: without this, a leader that returns from a partition would act as leader
    /// again under its old record and a new lease.
    pub fn drop_own_lease(&mut self, self_id: &ControllerId) {
        self.own = OwnLease::None;
        self.leader.take_if(|(leader, _)| leader == self_id);
        self.shards
            .retain(|_, holder| holder.controller != *self_id);
    }

    /// Applies a record, or its deletion if there is no `data`. Returns `None` if it is not newer than the cached
    /// one, or not a record of leases. Leadership and shards of an earlier process with this controller's label
    /// count as vacant.
    pub fn apply(
        &mut self,
        self_id: &ControllerId,
        key: &str,
        data: Option<&str>,
        version: Revision,
    ) -> Option<LeaseChange> {
        if key == LEADER_KEY {
            return self.apply_leader(self_id, data, version);
        }
        if let Some(label) = key.strip_prefix(CONTROLLER_PREFIX) {
            return self.apply_controller(label.into(), data, version);
        }
        let shard = ShardId::parse(key.strip_prefix(SHARD_PREFIX)?)?;
        self.apply_shard(self_id, shard, data, FencingToken(version.0))
    }

    fn apply_leader(
        &mut self,
        self_id: &ControllerId,
        data: Option<&str>,
        version: Revision,
    ) -> Option<LeaseChange> {
        let known = self.leader.as_ref().map(|(_, known)| *known);
        if known.is_some_and(|known| known >= version) {
            return None;
        }
        self.leader = decode::<LeaderRecord>(data)
            .filter(|record| !self.is_of_earlier_process(&record.leader, record.lease_id, self_id))
            .map(|record| (record.leader, version));
        Some(LeaseChange::Leader)
    }

    fn apply_controller(
        &mut self,
        controller: ControllerId,
        data: Option<&str>,
        version: Revision,
    ) -> Option<LeaseChange> {
        let known = self.controllers.get(&controller).map(|(_, known)| *known);
        if known.is_some_and(|known| known >= version) {
            return None;
        }
        let record: Option<ControllerRecord> = decode(data);
        let lease_id = record.as_ref().map(|record| record.lease_id);
        let previous = match record {
            Some(record) => self
                .controllers
                .insert(controller.clone(), (record, version)),
            None => self.controllers.remove(&controller),
        };
        if let Some((previous, _)) = previous
            && Some(previous.lease_id) != lease_id
        {
            self.remember_ended(previous.lease_id);
        }
        Some(LeaseChange::Controller(controller))
    }

    fn apply_shard(
        &mut self,
        self_id: &ControllerId,
        shard: ShardId,
        data: Option<&str>,
        token: FencingToken,
    ) -> Option<LeaseChange> {
        let known = self.shards.get(&shard).map(|known| known.tenure.token);
        if known.is_some_and(|known| known > token) {
            return None;
        }
        let record = decode::<ShardRecord>(data)
            .filter(|record| !self.is_of_earlier_process(&record.holder, record.lease_id, self_id));
        let holder = record.map(|record| ShardHolder {
            controller: record.holder,
            tenure: Tenure {
                acquired: record.acquired.unwrap_or(token),
                token,
            },
        });
        let previous = match holder.clone() {
            Some(holder) => self.shards.insert(shard.clone(), holder),
            None => self.shards.remove(&shard),
        };
        if known == Some(token) {
            // Known from the holder itself, see `supersede`; the record completes its tenure.
            return None;
        }
        let same_tenure = previous.zip(holder).is_some_and(|(previous, holder)| {
            previous.controller == holder.controller && holder.tenure.covers(previous.tenure.token)
        });
        Some(if same_tenure {
            LeaseChange::Token(shard)
        } else {
            LeaseChange::Shard(shard)
        })
    }
}

#[cfg(test)]
mod tests;
