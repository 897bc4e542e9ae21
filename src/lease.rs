//! Leases: which controllers are there, which one leads, and who holds which shard of machines.
//!
//! Each controller has one lease in the state service; its own record, its leadership and its
//! shards hang on it, so one renewal keeps them all and its end takes them all away.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::types::{ControllerId, FencingToken, LeaseId, Millis, Revision, ShardId, Zone};

pub const CONTROLLERS: &str = "jt/node/";
pub const LEADER: &str = "jt/lead";
pub const SHARDS: &str = "jt/block/";

pub fn controller_key(controller: &ControllerId) -> String {
    format!("{CONTROLLERS}{controller}")
}

pub fn shard_key(shard: &ShardId) -> String {
    format!("{SHARDS}{shard}")
}

/// A controller's own record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControllerRecord {
    #[serde(rename = "permit")]
    pub lease_id: LeaseId,
    pub zone: Zone,
    /// Whether it can hold shards: it hears from workers.
    #[serde(rename = "hears")]
    pub receives_heartbeats: bool,
}

/// A lease belongs to a process, not to a label: to the lease that the process took itself. One
/// that was started again reads what the process before it held, and must not take it for its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub leader: ControllerId,
    #[serde(rename = "permit")]
    pub lease_id: LeaseId,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    pub holder: ControllerId,
    #[serde(rename = "permit")]
    pub lease_id: LeaseId,
}

/// The lease of this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnLease {
    None,
    Requested,
    /// Held at least until `until` by our clock.
    Held {
        lease_id: LeaseId,
        until: Millis,
    },
}

#[derive(Debug)]
pub struct Leases {
    pub own: OwnLease,
    pub renewal_base: Millis,
    pub controllers: BTreeMap<ControllerId, (ControllerRecord, Revision)>,
    pub leader: Option<(ControllerId, Revision)>,
    pub shards: BTreeMap<ShardId, (ControllerId, FencingToken)>,
    /// Leases that controllers had before, the last of them: their processes are no more.
    ended: VecDeque<LeaseId>,
}

/// So many leases that are over are remembered.
const MOST_ENDED: usize = 256;

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

/// What a fed record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    Controller(ControllerId),
    Leader,
    Shard(ShardId),
}

impl Leases {
    pub fn lease_id(&self) -> Option<LeaseId> {
        match self.own {
            OwnLease::Held { lease_id, .. } => Some(lease_id),
            _ => None,
        }
    }

    /// Whether a message of a process with this lease comes from one that is known to be no more.
    pub fn is_over(&self, lease_id: LeaseId) -> bool {
        self.ended.contains(&lease_id)
    }

    fn note_ended(&mut self, lease_id: LeaseId) {
        self.ended.push_back(lease_id);
        if self.ended.len() > MOST_ENDED {
            self.ended.pop_front();
        }
    }

    /// Whether a lease of this holder is a dead process's that had our label.
    fn of_the_dead(&self, holder: &ControllerId, lease_id: LeaseId, me: &ControllerId) -> bool {
        holder == me && self.lease_id() != Some(lease_id)
    }

    pub fn holds(&self, shard: &ShardId, me: &ControllerId) -> Option<FencingToken> {
        let (holder, token) = self.shards.get(shard)?;
        (holder == me).then_some(*token)
    }

    pub fn leads(&self, me: &ControllerId) -> Option<Revision> {
        let (leader, version) = self.leader.as_ref()?;
        (leader == me).then_some(*version)
    }

    /// Another controller holds a shard of ours under a higher token, by its own word.
    pub fn supersede(
        &mut self,
        shard: &ShardId,
        holder: &ControllerId,
        token: FencingToken,
    ) -> bool {
        match self.shards.get(shard) {
            Some((known, old)) if *old < token && known != holder => {
                self.shards.insert(shard.clone(), (holder.clone(), token));
                true
            }
            _ => false,
        }
    }

    /// Our lease is over, and all that hung on it with it, though the watch may bring that later.
    /// Without this a leader back from a cut takes up its old lease under its new lease.
    pub fn lose(&mut self, me: &ControllerId) {
        self.own = OwnLease::None;
        self.leader.take_if(|(leader, _)| leader == me);
        self.shards.retain(|_, (holder, _)| holder != me);
    }

    /// Takes in a record. A lease of the process that had our label before counts as nobody's.
    pub fn apply(
        &mut self,
        me: &ControllerId,
        key: &str,
        data: Option<&str>,
        version: Revision,
    ) -> Option<LeaseChange> {
        if key == LEADER {
            let record: Option<LeaderRecord> = data.and_then(|d| serde_json::from_str(d).ok());
            if self
                .leader
                .as_ref()
                .is_some_and(|(_, known)| *known >= version)
            {
                return None;
            }
            let record = record.filter(|r| !self.of_the_dead(&r.leader, r.lease_id, me));
            self.leader = record.map(|r| (r.leader, version));
            return Some(LeaseChange::Leader);
        }
        if let Some(name) = key.strip_prefix(CONTROLLERS) {
            let controller = ControllerId::from(name);
            if self
                .controllers
                .get(&controller)
                .is_some_and(|(_, known)| *known >= version)
            {
                return None;
            }
            let record: Option<ControllerRecord> = data.and_then(|d| serde_json::from_str(d).ok());
            let lease_id = record.as_ref().map(|record| record.lease_id);
            let before = match record {
                Some(record) => self
                    .controllers
                    .insert(controller.clone(), (record, version)),
                None => self.controllers.remove(&controller),
            };
            let before = before.map(|(record, _)| record.lease_id);
            if let Some(ended) = before.filter(|before| Some(*before) != lease_id) {
                self.note_ended(ended);
            }
            return Some(LeaseChange::Controller(controller));
        }
        let shard = ShardId::parse(key.strip_prefix(SHARDS)?)?;
        let token = FencingToken(version.0);
        if self
            .shards
            .get(&shard)
            .is_some_and(|(_, known)| *known >= token)
        {
            return None;
        }
        let record: Option<ShardRecord> = data.and_then(|d| serde_json::from_str(d).ok());
        match record.filter(|r| !self.of_the_dead(&r.holder, r.lease_id, me)) {
            Some(record) => self.shards.insert(shard.clone(), (record.holder, token)),
            None => self.shards.remove(&shard),
        };
        Some(LeaseChange::Shard(shard))
    }
}

/// Who should hold each shard: controllers of its zone, in turn; shards of a zone without any go
/// to those who hold least. The same for all who know the same controllers, so nothing moves
/// without need.
pub fn desired_assignment(
    zones: &[Zone],
    parts: u32,
    controllers: &BTreeMap<ControllerId, (ControllerRecord, Revision)>,
) -> BTreeMap<ShardId, ControllerId> {
    let fit: Vec<(&ControllerId, &ControllerRecord)> = {
        let hearing: Vec<_> = controllers
            .iter()
            .filter(|(_, (r, _))| r.receives_heartbeats)
            .map(|(n, (r, _))| (n, r))
            .collect();
        if hearing.is_empty() {
            controllers.iter().map(|(n, (r, _))| (n, r)).collect()
        } else {
            hearing
        }
    };
    let mut held: BTreeMap<&ControllerId, u32> = fit.iter().map(|(n, _)| (*n, 0)).collect();
    let mut result = BTreeMap::new();
    let mut unowned = Vec::new();
    let zones: BTreeSet<&Zone> = zones.iter().collect();
    for zone in zones {
        let local: Vec<&ControllerId> = fit
            .iter()
            .filter(|(_, r)| r.zone == *zone)
            .map(|(n, _)| *n)
            .collect();
        for part in 0..parts {
            let zone = zone.clone();
            let shard = ShardId { zone, part };
            match local.get(part as usize % local.len().max(1)) {
                Some(controller) => {
                    *held.entry(controller).or_default() += 1;
                    result.insert(shard, (*controller).clone());
                }
                None => unowned.push(shard),
            }
        }
    }
    for shard in unowned {
        if let Some((controller, count)) = held
            .iter_mut()
            .min_by_key(|(controller, count)| (**count, **controller))
        {
            *count += 1;
            result.insert(shard, (*controller).clone());
        }
    }
    result
}

#[cfg(test)]
mod tests;
