//! Team guarantees and limits.
//!
//! A team's limit is dealt out to the shards in shares. Who places in a shard keeps to its share,
//! on condition that the record of the share has not changed; the leader deals so that the sum
//! never exceeds the limit, whatever was placed that it has not seen yet.

pub mod hierarchical;
pub mod reclaim;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::settings::TeamSettings;
use crate::types::{Resources, Revision, ShardId, Team};

pub const SHARES: &str = "jt/share/";

pub fn share_key(shard: &ShardId) -> String {
    format!("{SHARES}{shard}")
}

/// What a team may use in one shard, of each amount that its limit names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaAllocation {
    pub cpus: f64,
    pub gpus: f64,
}

impl QuotaAllocation {
    pub fn of(resources: Resources) -> Self {
        Self {
            cpus: resources.cpus,
            gpus: resources.gpus,
        }
    }

    fn plus(self, other: QuotaAllocation) -> Self {
        Self {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
        }
    }
}

/// The record of a shard: the share of each team that has a limit.
pub type AllocationRecord = BTreeMap<Team, QuotaAllocation>;

/// All shards' shares, as the state service has them.
#[derive(Debug, Default)]
pub struct QuotaAllocations {
    pub shards: BTreeMap<ShardId, (AllocationRecord, Revision)>,
}

impl QuotaAllocations {
    pub fn apply(&mut self, shard: ShardId, data: Option<&str>, version: Revision) -> bool {
        if self.version(&shard) >= version {
            return false;
        }
        let record = data.and_then(|d| serde_json::from_str(d).ok());
        self.shards
            .insert(shard, (record.unwrap_or_default(), version));
        true
    }

    pub fn version(&self, shard: &ShardId) -> Revision {
        self.shards.get(shard).map(|(_, v)| *v).unwrap_or_default()
    }

    pub fn share(&self, shard: &ShardId, team: &Team) -> QuotaAllocation {
        let record = self.shards.get(shard).and_then(|(r, _)| r.get(team));
        record.copied().unwrap_or_default()
    }

    pub fn record(&self, shard: &ShardId) -> AllocationRecord {
        self.shards
            .get(shard)
            .map(|(r, _)| r.clone())
            .unwrap_or_default()
    }

    /// The newest change of any share.
    pub fn newest(&self) -> Revision {
        self.shards
            .values()
            .map(|(_, v)| *v)
            .max()
            .unwrap_or_default()
    }
}

/// Whether a team that uses `resources` in a shard keeps to its share there.
pub fn within_share(resources: Resources, share: QuotaAllocation, team: &TeamSettings) -> bool {
    let keeps = |limit: f64, used: f64, share: f64| limit <= 0.0 || used <= share + 1e-6;
    keeps(team.cpus_max, resources.cpus, share.cpus)
        && keeps(team.gpus_max, resources.gpus, share.gpus)
}

/// One shard as the leader sees it.
#[derive(Clone, Copy, Debug)]
pub struct ShardAllocation {
    pub share: QuotaAllocation,
    /// By a cache that is newer than all shares: nobody has placed more since than the share
    /// allows.
    pub used: QuotaAllocation,
    /// Somebody may hold it.
    pub live: bool,
}

/// What a shard's tasks may come to use at the most before a new share of it takes effect.
fn bound(share: f64, used: f64) -> f64 {
    share.max(used)
}

fn unallocated_of(limit: f64, shards: impl Iterator<Item = (f64, f64)>) -> f64 {
    if limit <= 0.0 {
        return f64::INFINITY;
    }
    (limit - shards.map(|(share, used)| bound(share, used)).sum::<f64>()).max(0.0)
}

/// What is left of a team's limit to raise some shard's share by.
pub fn unallocated(team: &TeamSettings, shards: &[ShardAllocation]) -> QuotaAllocation {
    QuotaAllocation {
        cpus: unallocated_of(
            team.cpus_max,
            shards.iter().map(|b| (b.share.cpus, b.used.cpus)),
        ),
        gpus: unallocated_of(
            team.gpus_max,
            shards.iter().map(|b| (b.share.gpus, b.used.gpus)),
        ),
    }
}

/// Whether a team keeps its limit even if every shard uses its whole share.
pub fn keeps_limit(team: &TeamSettings, shards: &[ShardAllocation]) -> bool {
    let sum = |of: fn(&QuotaAllocation) -> f64| -> f64 {
        shards
            .iter()
            .map(|b| bound(of(&b.share), of(&b.used)))
            .sum()
    };
    under(sum(|s| s.cpus), team.cpus_max) && under(sum(|s| s.gpus), team.gpus_max)
}

/// Whether `resources` can be added to a share out of the slack.
pub fn covers(unallocated: QuotaAllocation, resources: Resources) -> bool {
    resources.cpus <= unallocated.cpus + 1e-6 && resources.gpus <= unallocated.gpus + 1e-6
}

/// The part of what a team leaves unused that is dealt out; the leader places out of the rest.
const DEALT: f64 = 0.6;
/// A share is left as it is until it is off by this part of a fair one.
const OFF: f64 = 0.5;

/// New shares of one amount. Raised only out of what no shard can come to use as shares are now,
/// so that a share that falls at the same time is not counted on yet.
fn allocate_amount(limit: f64, least: f64, shards: &[(f64, f64, bool)]) -> Vec<f64> {
    if limit <= 0.0 {
        return vec![0.0; shards.len()];
    }
    let live = shards.iter().filter(|(_, _, live)| *live).count().max(1);
    let used: f64 = shards.iter().map(|(_, used, _)| used).sum();
    let mut fair = (limit - used).max(0.0) * DEALT / live as f64;
    if fair < least {
        // Too little for a task in each shard: all of it is the leader's to place with.
        fair = 0.0;
    }
    let unallocated = unallocated_of(limit, shards.iter().map(|(share, used, _)| (*share, *used)));
    let wanted = |(share, used, live): &(f64, f64, bool)| -> f64 {
        let target = if *live { used + fair } else { 0.0 };
        let off = (target - share).abs();
        if off > OFF * fair.max(least) || target < *share && (!live || fair == 0.0 && off > 1e-6) {
            target
        } else {
            *share
        }
    };
    let raises: f64 = shards
        .iter()
        .map(|shard| (wanted(shard) - bound(shard.0, shard.1)).max(0.0))
        .sum();
    let part = if raises > unallocated {
        unallocated / raises
    } else {
        1.0
    };
    shards
        .iter()
        .map(|shard| {
            let (now, target) = (bound(shard.0, shard.1), wanted(shard));
            if target > now {
                now + (target - now) * part
            } else {
                target
            }
        })
        .collect()
}

/// New shares of a team's limit. `least`: shares smaller than this are of no use.
pub fn allocate(
    team: &TeamSettings,
    least: Resources,
    shards: &[ShardAllocation],
) -> Vec<QuotaAllocation> {
    let amounts = |of: fn(&QuotaAllocation) -> f64| -> Vec<(f64, f64, bool)> {
        let amount = |b: &ShardAllocation| (of(&b.share), of(&b.used), b.live);
        shards.iter().map(amount).collect()
    };
    let cpus = allocate_amount(team.cpus_max, least.cpus, &amounts(|s| s.cpus));
    let gpus = allocate_amount(team.gpus_max, least.gpus, &amounts(|s| s.gpus));
    cpus.into_iter()
        .zip(gpus)
        .map(|(cpus, gpus)| QuotaAllocation { cpus, gpus })
        .collect()
}

/// A share raised for `resources` that is placed where `used` is seen to be used. A holder may have used the
/// rest of its share unseen, so it is not counted on unless the shard is the leader's `own`.
pub fn raised(
    share: QuotaAllocation,
    used: Resources,
    resources: Resources,
    own: bool,
) -> QuotaAllocation {
    let at_least = |a: QuotaAllocation, b: QuotaAllocation| QuotaAllocation {
        cpus: a.cpus.max(b.cpus),
        gpus: a.gpus.max(b.gpus),
    };
    // A shard may use more than its share, if that was larger before.
    if own {
        at_least(share, QuotaAllocation::of(used.plus(resources)))
    } else {
        at_least(share, QuotaAllocation::of(used)).plus(QuotaAllocation::of(resources))
    }
}

fn under(amount: f64, most: f64) -> bool {
    most <= 0.0 || amount <= most + 1e-6
}

/// What a team that uses `resources` may still use.
pub fn left(resources: Resources, team: &TeamSettings) -> Resources {
    let rest = |most: f64, used: f64| {
        if most > 0.0 {
            most - used
        } else {
            f64::INFINITY
        }
    };
    Resources {
        cpus: rest(team.cpus_max, resources.cpus),
        gpus: rest(team.gpus_max, resources.gpus),
        memory_gb: f64::INFINITY,
    }
}

/// Whether a team that uses `resources` keeps its limit.
pub fn within(resources: Resources, team: &TeamSettings) -> bool {
    under(resources.cpus, team.cpus_max) && under(resources.gpus, team.gpus_max)
}

/// Whether a team that uses `resources` stays within what is guaranteed to it.
pub fn guaranteed(resources: Resources, team: &TeamSettings) -> bool {
    (team.cpus > 0.0 || team.gpus > 0.0)
        && under(resources.cpus, team.cpus)
        && under(resources.gpus, team.gpus)
}

#[cfg(test)]
mod tests;
