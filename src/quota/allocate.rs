//! How a team's limit is divided among the shards.
//!
//! Shards' usage is seen late, and a lowered allocation takes effect only when its record is
//! written. So a shard counts with the larger of its allocation and its usage, and allocations
//! are raised only out of what is left of the limit after that.

use super::{QuotaAllocation, TOLERANCE, within_amount};
use crate::settings::TeamSettings;
use crate::types::Resources;

/// The part of a team's unused quota that is allocated to the shards. The leader places out of the
/// rest, in any shard with available resources.
const ALLOCATED_PART: f64 = 0.6;

/// An allocation is left as it is until it differs from its target by this part of a fair one:
/// every change invalidates the placements in flight in its shard.
const REALLOCATION_THRESHOLD: f64 = 0.5;

/// One team in one shard, as the leader sees it.
#[derive(Clone, Copy, Debug)]
pub struct ShardAllocation {
    /// What is allocated to the team there.
    pub allocated: QuotaAllocation,
    /// What the team's tasks use there, by a cache that is newer than all allocations: nothing
    /// beyond the allocation can have been placed since.
    pub used: QuotaAllocation,
    /// Whether a controller may hold the shard.
    pub leased: bool,
}

impl ShardAllocation {
    fn cpus(&self) -> ShardAmount {
        ShardAmount {
            allocated: self.allocated.cpus,
            used: self.used.cpus,
            leased: self.leased,
        }
    }

    fn gpus(&self) -> ShardAmount {
        ShardAmount {
            allocated: self.allocated.gpus,
            used: self.used.gpus,
            leased: self.leased,
        }
    }
}

/// The same for one kind of resource.
#[derive(Clone, Copy, Debug)]
struct ShardAmount {
    allocated: f64,
    used: f64,
    leased: bool,
}

impl ShardAmount {
    /// The most that the shard's tasks may come to use before a new allocation takes effect.
    fn upper_bound(&self) -> f64 {
        self.allocated.max(self.used)
    }
}

/// Whether the deciding controller holds a shard, and so sees every placement there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardOwnership {
    /// It does: nothing is used there that it does not see.
    Local,
    /// It does not: the holder may have used the rest of the allocation unseen.
    Remote,
}

/// Whether a team that uses `resources` in a shard is within its allocation there. Only resources
/// that the team has a limit on count.
pub fn within_allocation(
    resources: Resources,
    allocation: QuotaAllocation,
    team: &TeamSettings,
) -> bool {
    let within =
        |limit: f64, used: f64, allocated: f64| limit <= 0.0 || used <= allocated + TOLERANCE;
    within(team.cpus_max, resources.cpus, allocation.cpus)
        && within(team.gpus_max, resources.gpus, allocation.gpus)
}

fn unallocated_amount(limit: f64, shards: impl Iterator<Item = ShardAmount>) -> f64 {
    if limit <= 0.0 {
        return f64::INFINITY;
    }
    let bound: f64 = shards.map(|shard| shard.upper_bound()).sum();
    (limit - bound).max(0.0)
}

/// What is left of a team's limit to raise some shard's allocation by.
pub fn unallocated(team: &TeamSettings, shards: &[ShardAllocation]) -> QuotaAllocation {
    QuotaAllocation {
        cpus: unallocated_amount(team.cpus_max, shards.iter().map(ShardAllocation::cpus)),
        gpus: unallocated_amount(team.gpus_max, shards.iter().map(ShardAllocation::gpus)),
    }
}

/// Whether a team keeps its limit even if every shard uses its whole allocation.
pub fn worst_case_within_limit(team: &TeamSettings, shards: &[ShardAllocation]) -> bool {
    let bound = |amount: fn(&ShardAllocation) -> ShardAmount| -> f64 {
        let amounts = shards.iter().map(amount);
        amounts.map(|amount| amount.upper_bound()).sum()
    };
    within_amount(bound(ShardAllocation::cpus), team.cpus_max)
        && within_amount(bound(ShardAllocation::gpus), team.gpus_max)
}

/// Whether an allocation can be raised by `resources` out of what is unallocated.
pub fn covers(unallocated: QuotaAllocation, resources: Resources) -> bool {
    resources.cpus <= unallocated.cpus + TOLERANCE && resources.gpus <= unallocated.gpus + TOLERANCE
}

/// New allocations of a team's limit, one for each of `shards`. An allocation below `min_useful`
/// may not be enough for a single task.
pub fn allocate(
    team: &TeamSettings,
    min_useful: Resources,
    shards: &[ShardAllocation],
) -> Vec<QuotaAllocation> {
    let amounts = |amount: fn(&ShardAllocation) -> ShardAmount| -> Vec<ShardAmount> {
        shards.iter().map(amount).collect()
    };
    let cpus = amounts(ShardAllocation::cpus);
    let gpus = amounts(ShardAllocation::gpus);
    let cpus = allocate_amount(team.cpus_max, min_useful.cpus, &cpus);
    let gpus = allocate_amount(team.gpus_max, min_useful.gpus, &gpus);
    cpus.into_iter()
        .zip(gpus)
        .map(|(cpus, gpus)| QuotaAllocation { cpus, gpus })
        .collect()
}

/// New allocations of one kind of resource. They rise only out of what no shard can come to use by
/// the present allocations: an allocation that is lowered by the same transaction may still be
/// used in full until then.
fn allocate_amount(limit: f64, min_useful: f64, shards: &[ShardAmount]) -> Vec<f64> {
    if limit <= 0.0 {
        return vec![0.0; shards.len()];
    }
    let fair = fair_headroom(limit, min_useful, shards);
    let targets: Vec<f64> = shards
        .iter()
        .map(|shard| target(shard, fair, min_useful))
        .collect();
    let unallocated = unallocated_amount(limit, shards.iter().copied());
    let raises: f64 = shards
        .iter()
        .zip(&targets)
        .map(|(shard, target)| (target - shard.upper_bound()).max(0.0))
        .sum();
    let granted_part = if raises > unallocated {
        unallocated / raises
    } else {
        1.0
    };
    shards
        .iter()
        .zip(targets)
        .map(|(shard, target)| {
            let bound = shard.upper_bound();
            if target > bound {
                bound + (target - bound) * granted_part
            } else {
                target
            }
        })
        .collect()
}

/// What each leased shard should have allocated beyond its usage.
fn fair_headroom(limit: f64, min_useful: f64, shards: &[ShardAmount]) -> f64 {
    let leased = shards.iter().filter(|shard| shard.leased).count().max(1);
    let used: f64 = shards.iter().map(|shard| shard.used).sum();
    let fair = (limit - used).max(0.0) * ALLOCATED_PART / leased as f64;
    if fair < min_useful {
        // Too little for a task in each shard: the leader places out of all of it.
        0.0
    } else {
        fair
    }
}

/// The allocation that a shard should have: its present one unless that is far off.
fn target(shard: &ShardAmount, fair: f64, min_useful: f64) -> f64 {
    let ideal = if shard.leased { shard.used + fair } else { 0.0 };
    let difference = (ideal - shard.allocated).abs();
    let far_off = difference > REALLOCATION_THRESHOLD * fair.max(min_useful);
    // What is not to be allocated at all is taken back even if it is little.
    let no_headroom = fair == 0.0 && difference > TOLERANCE;
    let taken_back = ideal < shard.allocated && (!shard.leased || no_headroom);
    if far_off || taken_back {
        ideal
    } else {
        shard.allocated
    }
}

/// An allocation raised for `resources` that are placed where `used` is seen to be used. In a
/// remote shard the holder may have used the rest of the allocation unseen, so it is not counted
/// on.
pub fn raised_allocation(
    allocated: QuotaAllocation,
    used: Resources,
    resources: Resources,
    ownership: ShardOwnership,
) -> QuotaAllocation {
    // A shard may use more than its allocation if that was larger before.
    match ownership {
        ShardOwnership::Local => allocated.at_least(QuotaAllocation::of(used.plus(resources))),
        ShardOwnership::Remote => allocated
            .at_least(QuotaAllocation::of(used))
            .plus(QuotaAllocation::of(resources)),
    }
}
