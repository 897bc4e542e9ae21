//! How a team's limit is divided among the shards.
//!
//! The leader observes the shards' usage late, and a lowered allocation takes effect only when its
//! record is written. Each shard is therefore counted with the larger of its allocation and its
//! usage, and allocations are raised only out of the remaining part of the limit.

use super::{QuotaAllocation, TOLERANCE, within_amount};
use crate::settings::TeamSettings;
use crate::types::Resources;

/// The fraction of a team's unused quota that is allocated to the shards. The leader places out of
/// the unallocated quota, in any shard with available resources.
const ALLOCATED_FRACTION: f64 = 0.6;

/// An allocation is changed only if it differs from its target by more than this fraction of the
/// fair headroom, or of the smallest useful allocation if that is larger. Every change invalidates
/// the placements in flight in the shard.
const REALLOCATION_THRESHOLD: f64 = 0.5;

/// A team's allocation and usage in one shard, as the deciding controller knows them.
#[derive(Clone, Copy, Debug)]
pub struct ShardAllocation {
    /// The team's allocation in the shard.
    pub allocated: QuotaAllocation,
    /// What the team's tasks use in the shard, by a cache that is newer than all allocations:
    /// nothing beyond the allocation can have been placed since.
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

/// A [`ShardAllocation`] reduced to one kind of resource.
#[derive(Clone, Copy, Debug)]
struct ShardAmount {
    allocated: f64,
    used: f64,
    leased: bool,
}

impl ShardAmount {
    /// The most that the team's tasks in the shard may use until a new allocation takes effect.
    fn upper_bound(&self) -> f64 {
        self.allocated.max(self.used)
    }
}

/// Whether the deciding controller holds a shard, and so knows every placement there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardOwnership {
    /// It holds the shard: its view of the usage there is complete.
    Local,
    /// Another controller may hold the shard, and may have placed tasks within the allocation that
    /// the deciding controller does not know of yet.
    Remote,
}

/// Whether a team with this usage in a shard is within its allocation there. Only resources that
/// the team has a limit on count.
pub fn within_allocation(
    usage: Resources,
    allocation: QuotaAllocation,
    team: &TeamSettings,
) -> bool {
    let within =
        |limit: f64, used: f64, allocated: f64| limit <= 0.0 || used <= allocated + TOLERANCE;
    within(team.cpus_max, usage.cpus, allocation.cpus)
        && within(team.gpus_max, usage.gpus, allocation.gpus)
}

fn unallocated_amount(limit: f64, shards: impl Iterator<Item = ShardAmount>) -> f64 {
    if limit <= 0.0 {
        return f64::INFINITY;
    }
    let bound: f64 = shards.map(|shard| shard.upper_bound()).sum();
    (limit - bound).max(0.0)
}

/// The part of a team's limit that no shard can use, by which allocations may be raised. Infinite
/// for resources without a limit.
pub fn unallocated(team: &TeamSettings, shards: &[ShardAllocation]) -> QuotaAllocation {
    QuotaAllocation {
        cpus: unallocated_amount(team.cpus_max, shards.iter().map(ShardAllocation::cpus)),
        gpus: unallocated_amount(team.gpus_max, shards.iter().map(ShardAllocation::gpus)),
    }
}

/// Whether a team stays within its limit even if every shard uses its whole allocation.
pub fn worst_case_within_limit(team: &TeamSettings, shards: &[ShardAllocation]) -> bool {
    let bound = |amount: fn(&ShardAllocation) -> ShardAmount| -> f64 {
        let amounts = shards.iter().map(amount);
        amounts.map(|amount| amount.upper_bound()).sum()
    };
    within_amount(bound(ShardAllocation::cpus), team.cpus_max)
        && within_amount(bound(ShardAllocation::gpus), team.gpus_max)
}

/// Whether an allocation can be raised by `resources` out of the `unallocated` quota.
pub fn covers(unallocated: QuotaAllocation, resources: Resources) -> bool {
    resources.cpus <= unallocated.cpus + TOLERANCE && resources.gpus <= unallocated.gpus + TOLERANCE
}

/// New allocations of a team's limit, one for each of `shards` in their order. Allocations below
/// `min_useful` are avoided, because they may not be enough for a single task.
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

/// New allocations of one kind of resource. They are raised only out of what no shard can use
/// under the current allocations: an allocation that the same transaction lowers may still be used
/// in full until that transaction is applied.
fn allocate_amount(limit: f64, min_useful: f64, shards: &[ShardAmount]) -> Vec<f64> {
    if limit <= 0.0 {
        return vec![0.0; shards.len()];
    }
    let headroom = fair_headroom(limit, min_useful, shards);
    let targets: Vec<f64> = shards
        .iter()
        .map(|shard| target_allocation(shard, headroom, min_useful))
        .collect();
    let unallocated = unallocated_amount(limit, shards.iter().copied());
    let raises: f64 = shards
        .iter()
        .zip(&targets)
        .map(|(shard, target)| (target - shard.upper_bound()).max(0.0))
        .sum();
    let granted_fraction = if raises > unallocated {
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
                bound + (target - bound) * granted_fraction
            } else {
                target
            }
        })
        .collect()
}

/// What each leased shard should have allocated beyond its usage; 0 if that would be less than
/// `min_useful`.
fn fair_headroom(limit: f64, min_useful: f64, shards: &[ShardAmount]) -> f64 {
    let leased = shards.iter().filter(|shard| shard.leased).count().max(1);
    let used: f64 = shards.iter().map(|shard| shard.used).sum();
    let fair = (limit - used).max(0.0) * ALLOCATED_FRACTION / leased as f64;
    if fair < min_useful {
        // Too little for a task in each shard: nothing is allocated in advance, and the leader
        // places out of the whole unused quota.
        0.0
    } else {
        fair
    }
}

/// The allocation that a shard should have: its current one unless that is far from the ideal.
fn target_allocation(shard: &ShardAmount, headroom: f64, min_useful: f64) -> f64 {
    let ideal = if shard.leased {
        shard.used + headroom
    } else {
        0.0
    };
    let difference = (ideal - shard.allocated).abs();
    let far_off = difference > REALLOCATION_THRESHOLD * headroom.max(min_useful);
    // Quota that should not be allocated at all is withdrawn, however small the amount.
    let no_headroom = headroom == 0.0 && difference > TOLERANCE;
    let withdrawn = ideal < shard.allocated && (!shard.leased || no_headroom);
    if far_off || withdrawn {
        ideal
    } else {
        shard.allocated
    }
}

/// A shard's allocation, raised where necessary for placing `resources` beside the observed usage
/// `used`. In a remote shard the unused part of the allocation does not count as available,
/// because the holder may have placed tasks there that are not observed yet.
pub fn raised_allocation(
    allocated: QuotaAllocation,
    used: Resources,
    resources: Resources,
    ownership: ShardOwnership,
) -> QuotaAllocation {
    // The usage of a shard exceeds its allocation if the allocation was lowered.
    match ownership {
        ShardOwnership::Local => allocated.max(QuotaAllocation::of(used.plus(resources))),
        ShardOwnership::Remote => allocated
            .max(QuotaAllocation::of(used))
            .plus(QuotaAllocation::of(resources)),
    }
}
