//! Which controller should hold each shard.

use std::collections::{BTreeMap, BTreeSet};

use super::ControllerRecord;
use crate::types::{ControllerId, Revision, ShardId, Zone};

/// The controller that should hold each shard: shards are assigned round-robin to the controllers of their zone;
/// shards of a zone without controllers go to those that hold the fewest. The result depends on the arguments
/// only, so every leader computes the same assignment and no shard moves without need. Controllers that receive no
/// heartbeats hold shards only if no controller receives any.
#[must_use]
pub fn desired_assignment(
    zones: &[Zone],
    shards_per_zone: u32,
    controllers: &BTreeMap<ControllerId, (ControllerRecord, Revision)>,
) -> BTreeMap<ShardId, ControllerId> {
    let eligible = eligible_holders(controllers);
    let mut shard_counts: BTreeMap<&ControllerId, u32> =
        eligible.iter().map(|(label, _)| (*label, 0)).collect();
    let mut assignment = BTreeMap::new();
    let mut remaining = Vec::new();
    let zones: BTreeSet<&Zone> = zones.iter().collect();
    for zone in zones {
        let local: Vec<&ControllerId> = eligible
            .iter()
            .filter(|(_, record)| record.zone == *zone)
            .map(|(label, _)| *label)
            .collect();
        for part in 0..shards_per_zone {
            let zone = zone.clone();
            let shard = ShardId { zone, index: part };
            match local.get(part as usize % local.len().max(1)) {
                Some(controller) => {
                    *shard_counts.entry(controller).or_default() += 1;
                    assignment.insert(shard, (*controller).clone());
                }
                None => remaining.push(shard),
            }
        }
    }
    assign_to_fewest(remaining, &mut shard_counts, &mut assignment);
    assignment
}

/// Assigns shards one by one, each to the controller that holds the fewest at that point.
fn assign_to_fewest(
    shards: Vec<ShardId>,
    shard_counts: &mut BTreeMap<&ControllerId, u32>,
    assignment: &mut BTreeMap<ShardId, ControllerId>,
) {
    for shard in shards {
        let fewest = shard_counts
            .iter_mut()
            .min_by_key(|(controller, count)| (**count, **controller));
        if let Some((controller, count)) = fewest {
            *count += 1;
            assignment.insert(shard, (*controller).clone());
        }
    }
}

/// Controllers that can hold shards: those that receive heartbeats, or all if none does.
fn eligible_holders(
    controllers: &BTreeMap<ControllerId, (ControllerRecord, Revision)>,
) -> Vec<(&ControllerId, &ControllerRecord)> {
    let all = || {
        controllers
            .iter()
            .map(|(label, (record, _))| (label, record))
    };
    let receiving: Vec<_> = all()
        .filter(|(_, record)| record.receives_heartbeats)
        .collect();
    if receiving.is_empty() {
        all().collect()
    } else {
        receiving
    }
}
