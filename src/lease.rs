//! Leases: which controllers are there, which one leads, and who holds which block of machines.
//!
//! Each controller has one lease in the state service; its own record, its leadership and its
//! blocks hang on it, so one renewal keeps them all and its end takes them all away.

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
    /// Whether it can hold blocks: it hears from workers.
    pub hears: bool,
}

/// An office belongs to a process, not to a label: to the lease that the process took itself. One
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

    /// Whether an office of this holder is a dead process's that had our label.
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

    /// Another controller holds a block of ours under a higher token, by its own word.
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
    /// Without this a leader back from a cut takes up its old office under its new lease.
    pub fn lose(&mut self, me: &NodeId) {
        self.own = Own::None;
        self.leader.take_if(|(leader, _)| leader == me);
        self.blocks.retain(|_, (holder, _)| holder != me);
    }

    /// Takes in a record. An office of the process that had our label before counts as nobody's.
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

/// Who should hold each block: controllers of its zone, in turn; blocks of a zone without any go
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
mod tests {
    use super::*;

    fn nodes(list: &[(&str, &str, bool)]) -> BTreeMap<NodeId, (NodeRecord, Revision)> {
        list.iter()
            .map(|(name, zone, hears)| {
                let record = NodeRecord {
                    permit: Permit(1),
                    zone: (*zone).into(),
                    hears: *hears,
                };
                ((*name).into(), (record, Revision(1)))
            })
            .collect()
    }

    #[test]
    fn blocks_go_to_controllers_of_their_zone_first() {
        type Case<'a> = (&'a [&'a str], &'a [(&'a str, &'a str, bool)], &'a str);
        let cases: &[Case] = &[
            (
                &["a", "b"],
                &[("n0", "a", true), ("n1", "b", true), ("n2", "a", true)],
                "a.0=n0 a.1=n2 b.0=n1 b.1=n1",
            ),
            (
                &["a", "b", "c"],
                &[("n0", "a", true), ("n1", "b", true)],
                "a.0=n0 a.1=n0 b.0=n1 b.1=n1 c.0=n0 c.1=n1",
            ),
            (
                &["a", "b"],
                &[("n0", "a", false), ("n1", "b", true)],
                "a.0=n1 a.1=n1 b.0=n1 b.1=n1",
            ),
            (&["a"], &[("n0", "b", false)], "a.0=n0 a.1=n0"),
            (&["a"], &[], ""),
        ];
        for (zones, list, expected) in cases {
            let zones: Vec<Zone> = zones.iter().map(|z| (*z).into()).collect();
            let shown: Vec<String> = rightful(&zones, 2, &nodes(list))
                .iter()
                .map(|(block, node)| format!("{block}={node}"))
                .collect();
            assert_eq!(shown.join(" "), *expected);
        }
    }

    #[test]
    fn an_older_record_changes_nothing() {
        let mut leases = Leases::default();
        let holder = |name: &str| format!("{{\"holder\":\"{name}\",\"permit\":7}}");
        let block = BlockId::parse("a.0").unwrap();
        let steps = [
            (Some(holder("n0")), 5, Some("n0")),
            (Some(holder("n1")), 4, Some("n0")),
            (None, 3, Some("n0")),
            (Some(holder("n1")), 9, Some("n1")),
            (None, 10, None),
        ];
        for (data, version, expected) in steps {
            leases.feed(
                &"n9".into(),
                "jt/block/a.0",
                data.as_deref(),
                Revision(version),
            );
            let held = leases.blocks.get(&block).map(|(n, _)| n.as_str());
            assert_eq!(held, expected, "at {version}");
        }
    }

    /// A leader back from a cut took a new lease and, until the watch told it of its successor,
    /// acted as leader again: it deleted twelve machines at work.
    #[test]
    fn the_end_of_our_lease_ends_our_offices_and_nobody_elses() {
        let mut leases = Leases {
            own: Own::Held {
                permit: Permit(7),
                until: Millis(9),
            },
            ..Leases::default()
        };
        leases.feed(
            &"n9".into(),
            "jt/lead",
            Some(r#"{"leader":"n0","permit":7}"#),
            Revision(3),
        );
        leases.feed(
            &"n9".into(),
            "jt/block/a.0",
            Some(r#"{"holder":"n0","permit":7}"#),
            Revision(4),
        );
        leases.feed(
            &"n9".into(),
            "jt/block/a.1",
            Some(r#"{"holder":"n1","permit":8}"#),
            Revision(5),
        );
        let (n0, n1) = (NodeId::from("n0"), NodeId::from("n1"));
        let (a0, a1) = (
            BlockId::parse("a.0").unwrap(),
            BlockId::parse("a.1").unwrap(),
        );
        leases.lose(&n0);
        assert_eq!((leases.leads(&n0), leases.holds(&a0, &n0)), (None, None));
        assert_eq!(leases.holds(&a1, &n1), Some(Token(5)));
        assert_eq!(leases.own, Own::None);
        // What others then do is heard as ever.
        leases.feed(
            &"n9".into(),
            "jt/lead",
            Some(r#"{"leader":"n1","permit":8}"#),
            Revision(8),
        );
        assert_eq!(leases.leads(&n1), Some(Revision(8)));
        leases.lose(&n0);
        assert_eq!(leases.leads(&n1), Some(Revision(8)));
    }

    #[test]
    fn a_peer_supersedes_us_only_with_a_higher_token() {
        let block = BlockId::parse("a.0").unwrap();
        for (token, holder, taken) in [
            (3, "n1", false),
            (4, "n1", false),
            (9, "n1", true),
            (9, "n0", false),
        ] {
            let mut leases = Leases::default();
            leases.feed(
                &"n9".into(),
                "jt/block/a.0",
                Some(r#"{"holder":"n0","permit":7}"#),
                Revision(4),
            );
            let superseded = leases.supersede(&block, &holder.into(), Token(token));
            assert_eq!(superseded, taken, "token {token} of {holder}");
        }
    }

    /// A controller that was killed and back at once said `leading` and `holding` with the revisions
    /// of the process before, until its old lease had been ended: it could have rented under names
    /// that were used already, and answered workers under a token it had no right to.
    #[test]
    fn an_office_belongs_to_the_process_that_took_it() {
        let me = NodeId::from("n0");
        let block = BlockId::parse("a.0").unwrap();
        let cases = [
            // our lease; who held the office by the record, under which lease; ours, anybody's
            (None, "n0", 7, false, false),
            (Some(8), "n0", 7, false, false),
            (Some(8), "n0", 8, true, true),
            (Some(8), "n1", 7, false, true),
            (None, "n1", 7, false, true),
        ];
        for (own, holder, permit, ours, known) in cases {
            let mut leases = Leases::default();
            if let Some(permit) = own {
                leases.own = Own::Held {
                    permit: Permit(permit),
                    until: Millis(9),
                };
            }
            let lead = format!("{{\"leader\":\"{holder}\",\"permit\":{permit}}}");
            let held = format!("{{\"holder\":\"{holder}\",\"permit\":{permit}}}");
            leases.feed(&me, LEADER, Some(&lead), Revision(3));
            leases.feed(&me, &block_key(&block), Some(&held), Revision(4));
            let case = format!("{own:?}, {holder} under {permit}");
            assert_eq!(leases.leads(&me).is_some(), ours, "{case}");
            assert_eq!(leases.holds(&block, &me).is_some(), ours, "{case}");
            assert_eq!(leases.leader.is_some(), known, "{case}");
            assert_eq!(leases.blocks.contains_key(&block), known, "{case}");
        }
    }

    /// What a dead process said may come late, and make machines look alive that nobody hears.
    #[test]
    fn a_process_is_over_once_its_record_has_changed_hands() {
        let mut leases = Leases::default();
        let record = |permit| format!("{{\"permit\":{permit},\"zone\":\"a\",\"hears\":true}}");
        let steps = [
            // record, its version, leases that are over then
            (Some(record(3)), 5, vec![]),
            (Some(record(3)), 6, vec![]),
            (Some(record(4)), 7, vec![3]),
            (None, 8, vec![3, 4]),
            (Some(record(9)), 9, vec![3, 4]),
        ];
        for (data, version, over) in steps {
            let (key, version) = (node_key(&"n1".into()), Revision(version));
            leases.feed(&"n0".into(), &key, data.as_deref(), version);
            let found: Vec<u64> = (1..12).filter(|p| leases.is_over(Permit(*p))).collect();
            assert_eq!(found, over, "at {version:?}");
        }
    }
}
