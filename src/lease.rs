//! Leases: which controllers are there, which one leads, and who holds which shard of machines.
//!
//! Each controller has one lease in the state service; its own record, its leadership and its
//! shards hang on it, so one renewal keeps them all and its end takes them all away.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::types::{BlockId, Millis, NodeId, Permit, Revision, Token, Zone};

pub const NODES: &str = "jt/node/";
pub const LEADER: &str = "jt/lead";
pub const BLOCKS: &str = "jt/block/";

pub fn node_key(node: &NodeId) -> String {
    format!("{NODES}{node}")
}

pub fn block_key(block: &BlockId) -> String {
    format!("{BLOCKS}{block}")
}

/// A controller's own record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    pub permit: Permit,
    pub zone: Zone,
    /// Whether it can hold shards: it hears from workers.
    pub hears: bool,
}

/// A lease belongs to a process, not to a label: to the lease that the process took itself. One
/// that was started again reads what the process before it held, and must not take it for its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub leader: NodeId,
    pub permit: Permit,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockRecord {
    pub holder: NodeId,
    pub permit: Permit,
}

/// The lease of this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Own {
    None,
    Asked,
    /// Held at least until `until` by our clock.
    Held {
        permit: Permit,
        until: Millis,
    },
}

#[derive(Debug)]
pub struct Leases {
    pub own: Own,
    pub renewed: Millis,
    pub nodes: BTreeMap<NodeId, (NodeRecord, Revision)>,
    pub leader: Option<(NodeId, Revision)>,
    pub blocks: BTreeMap<BlockId, (NodeId, Token)>,
    /// Leases that controllers had before, the last of them: their processes are no more.
    ended: VecDeque<Permit>,
}

/// So many leases that are over are remembered.
const MOST_ENDED: usize = 256;

impl Default for Leases {
    fn default() -> Self {
        Self {
            own: Own::None,
            renewed: Millis(0),
            nodes: BTreeMap::new(),
            leader: None,
            blocks: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }
}

/// What a fed record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Moved {
    Node(NodeId),
    Leader,
    Block(BlockId),
}

impl Leases {
    pub fn permit(&self) -> Option<Permit> {
        match self.own {
            Own::Held { permit, .. } => Some(permit),
            _ => None,
        }
    }

    /// Whether a message of a process with this lease comes from one that is known to be no more.
    pub fn is_over(&self, permit: Permit) -> bool {
        self.ended.contains(&permit)
    }

    fn note_ended(&mut self, permit: Permit) {
        self.ended.push_back(permit);
        if self.ended.len() > MOST_ENDED {
            self.ended.pop_front();
        }
    }

    /// Whether a lease of this holder is a dead process's that had our label.
    fn of_the_dead(&self, holder: &NodeId, permit: Permit, me: &NodeId) -> bool {
        holder == me && self.permit() != Some(permit)
    }

    pub fn holds(&self, block: &BlockId, me: &NodeId) -> Option<Token> {
        let (holder, token) = self.blocks.get(block)?;
        (holder == me).then_some(*token)
    }

    pub fn leads(&self, me: &NodeId) -> Option<Revision> {
        let (leader, version) = self.leader.as_ref()?;
        (leader == me).then_some(*version)
    }

    /// Another controller holds a shard of ours under a higher token, by its own word.
    pub fn supersede(&mut self, block: &BlockId, holder: &NodeId, token: Token) -> bool {
        match self.blocks.get(block) {
            Some((known, old)) if *old < token && known != holder => {
                self.blocks.insert(block.clone(), (holder.clone(), token));
                true
            }
            _ => false,
        }
    }

    /// Our lease is over, and all that hung on it with it, though the watch may bring that later.
    /// Without this a leader back from a cut takes up its old lease under its new lease.
    pub fn lose(&mut self, me: &NodeId) {
        self.own = Own::None;
        self.leader.take_if(|(leader, _)| leader == me);
        self.blocks.retain(|_, (holder, _)| holder != me);
    }

    /// Takes in a record. A lease of the process that had our label before counts as nobody's.
    pub fn feed(
        &mut self,
        me: &NodeId,
        key: &str,
        data: Option<&str>,
        version: Revision,
    ) -> Option<Moved> {
        if key == LEADER {
            let record: Option<LeaderRecord> = data.and_then(|d| serde_json::from_str(d).ok());
            if self
                .leader
                .as_ref()
                .is_some_and(|(_, known)| *known >= version)
            {
                return None;
            }
            let record = record.filter(|r| !self.of_the_dead(&r.leader, r.permit, me));
            self.leader = record.map(|r| (r.leader, version));
            return Some(Moved::Leader);
        }
        if let Some(name) = key.strip_prefix(NODES) {
            let node = NodeId::from(name);
            if self
                .nodes
                .get(&node)
                .is_some_and(|(_, known)| *known >= version)
            {
                return None;
            }
            let record: Option<NodeRecord> = data.and_then(|d| serde_json::from_str(d).ok());
            let permit = record.as_ref().map(|record| record.permit);
            let before = match record {
                Some(record) => self.nodes.insert(node.clone(), (record, version)),
                None => self.nodes.remove(&node),
            };
            let before = before.map(|(record, _)| record.permit);
            if let Some(ended) = before.filter(|before| Some(*before) != permit) {
                self.note_ended(ended);
            }
            return Some(Moved::Node(node));
        }
        let block = BlockId::parse(key.strip_prefix(BLOCKS)?)?;
        let token = Token(version.0);
        if self
            .blocks
            .get(&block)
            .is_some_and(|(_, known)| *known >= token)
        {
            return None;
        }
        let record: Option<BlockRecord> = data.and_then(|d| serde_json::from_str(d).ok());
        match record.filter(|r| !self.of_the_dead(&r.holder, r.permit, me)) {
            Some(record) => self.blocks.insert(block.clone(), (record.holder, token)),
            None => self.blocks.remove(&block),
        };
        Some(Moved::Block(block))
    }
}

/// Who should hold each shard: controllers of its zone, in turn; shards of a zone without any go
/// to those who hold least. The same for all who know the same controllers, so nothing moves
/// without need.
pub fn rightful(
    zones: &[Zone],
    parts: u32,
    nodes: &BTreeMap<NodeId, (NodeRecord, Revision)>,
) -> BTreeMap<BlockId, NodeId> {
    let fit: Vec<(&NodeId, &NodeRecord)> = {
        let hearing: Vec<_> = nodes
            .iter()
            .filter(|(_, (r, _))| r.hears)
            .map(|(n, (r, _))| (n, r))
            .collect();
        if hearing.is_empty() {
            nodes.iter().map(|(n, (r, _))| (n, r)).collect()
        } else {
            hearing
        }
    };
    let mut held: BTreeMap<&NodeId, u32> = fit.iter().map(|(n, _)| (*n, 0)).collect();
    let mut result = BTreeMap::new();
    let mut homeless = Vec::new();
    let zones: BTreeSet<&Zone> = zones.iter().collect();
    for zone in zones {
        let local: Vec<&NodeId> = fit
            .iter()
            .filter(|(_, r)| r.zone == *zone)
            .map(|(n, _)| *n)
            .collect();
        for part in 0..parts {
            let zone = zone.clone();
            let block = BlockId { zone, part };
            match local.get(part as usize % local.len().max(1)) {
                Some(node) => {
                    *held.entry(node).or_default() += 1;
                    result.insert(block, (*node).clone());
                }
                None => homeless.push(block),
            }
        }
    }
    for block in homeless {
        if let Some((node, count)) = held
            .iter_mut()
            .min_by_key(|(node, count)| (**count, **node))
        {
            *count += 1;
            result.insert(block, (*node).clone());
        }
    }
    result
}

#[cfg(test)]
mod tests;
