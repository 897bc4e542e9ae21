//! Divides a node's entitlement among its children: first what each is guaranteed, then the surplus
//! by weighted dominant-resource fairness, computed by progressive filling. No child gets more than
//! it demands.
//!
//! Amounts are looped over by kind of resource: index 0 is CPUs, index 1 is GPUs.

use crate::amount::Amount;

/// The kinds of resources by index.
const RESOURCE_KINDS: [usize; 2] = [0, 1];

/// Bisection steps after which the amount left undivided is negligible: a double has 52 bits of
/// fraction.
const MAX_BISECTION_STEPS: usize = 60;

/// A kind of resource counts as exhausted when this fraction of the pool or less is left, and a
/// demand as met when no more than this is missing, in CPUs or GPUs.
const EXHAUSTION_TOLERANCE: f64 = 1e-9;

/// Relative rounding error that is allowed when a sum is compared with the pool.
const POOL_TOLERANCE: f64 = 1e-12;

/// The claim of one child in a division.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// What its guarantees give the child, regardless of the demand of its siblings.
    pub floor: Amount,
    /// The most that the child could use; at least the floor.
    pub demand: Amount,
    /// The weight among its siblings; must be positive.
    pub weight: f64,
}

impl Claim {
    /// The amount at a fraction of the way from the floor to the demand.
    fn interpolate(&self, fraction: f64) -> Amount {
        self.floor
            .plus(self.demand.minus(self.floor).times(fraction))
    }

    /// The fraction of the way from its floor to its demand that a child has at a level. The level
    /// is the dominant share of the child, which is the largest fraction of the pool that it has of
    /// any kind of resource, divided by its weight.
    fn fraction_at(&self, level: f64, pool: [f64; 2]) -> f64 {
        let (floor, demand) = (self.floor.to_array(), self.demand.to_array());
        let mut fraction: f64 = 1.0;
        for (kind, pool) in pool.into_iter().enumerate() {
            let distance = demand[kind] - floor[kind];
            if pool.is_finite() && distance > 0.0 {
                fraction = fraction.min((level * self.weight * pool - floor[kind]) / distance);
            }
        }
        fraction.max(0.0)
    }

    /// The amount that a child has at a level.
    fn amount_at(&self, level: f64, pool: [f64; 2]) -> Amount {
        self.interpolate(self.fraction_at(level, pool))
    }

    /// The level from which on the demand of the child is met.
    fn saturation_level(&self, pool: [f64; 2]) -> f64 {
        let demand = self.demand.to_array();
        let shares = pool
            .into_iter()
            .zip(demand)
            .filter(|(pool, _)| *pool > 0.0 && pool.is_finite())
            .map(|(pool, demand)| demand / pool);
        shares.fold(0.0, f64::max) / self.weight
    }
}

/// Divides a pool among the claims and returns the amount of each.
///
/// `governed` tells for CPUs and for GPUs whether they are divided at all. Of a kind that is not,
/// each child gets its demand. The floors must fit in the pool.
#[must_use]
pub fn divide(pool: Amount, governed: [bool; 2], claims: &[Claim]) -> Vec<Amount> {
    let amounts = pool.to_array();
    let pool = RESOURCE_KINDS.map(|kind| {
        if governed[kind] {
            amounts[kind]
        } else {
            f64::INFINITY
        }
    });
    let allocations = progressive_fill(pool, governed, claims);
    allocations
        .into_iter()
        .zip(claims)
        .map(|(amount, claim)| {
            let [cpus, gpus] = RESOURCE_KINDS.map(|kind| {
                if governed[kind] {
                    amount.to_array()[kind]
                } else {
                    claim.demand.to_array()[kind]
                }
            });
            Amount::new(cpus, gpus)
        })
        .collect()
}

/// Progressive filling: raises the level of all active children together. When a kind of resource is
/// exhausted, children that need more of it are frozen at what they have, and the others continue.
fn progressive_fill(pool: [f64; 2], governed: [bool; 2], claims: &[Claim]) -> Vec<Amount> {
    let mut allocations: Vec<Amount> = claims.iter().map(|claim| claim.floor).collect();
    let mut active: Vec<usize> = (0..claims.len()).collect();
    let mut level = 0.0;
    while !active.is_empty() {
        let step = highest_feasible_level(level, pool, claims, &allocations, &active);
        level = step.level;
        for index in &active {
            allocations[*index] = claims[*index].amount_at(level, pool);
        }
        if step.all_satisfied {
            break;
        }
        let remaining = remaining_in(pool, &allocations);
        let is_limited = |index: usize| {
            let (demand, now) = (
                claims[index].demand.to_array(),
                allocations[index].to_array(),
            );
            RESOURCE_KINDS.into_iter().any(|kind| {
                governed[kind]
                    && remaining[kind] <= pool[kind] * EXHAUSTION_TOLERANCE
                    && demand[kind] - now[kind] > EXHAUSTION_TOLERANCE
            })
        };
        let before = active.len();
        active.retain(|index| !is_limited(*index) && allocations[*index] != claims[*index].demand);
        if active.len() == before {
            break;
        }
    }
    allocations
}

/// What the allocations leave of the pool.
fn remaining_in(pool: [f64; 2], allocations: &[Amount]) -> [f64; 2] {
    let used = allocations
        .iter()
        .fold(Amount::ZERO, |sum, amount| sum.plus(*amount));
    RESOURCE_KINDS.map(|kind| pool[kind] - used.to_array()[kind])
}

/// The level that the active children were raised to.
struct FillStep {
    level: f64,
    /// Whether the demands of all active children are met.
    all_satisfied: bool,
}

/// Finds the highest level at which the amounts of the active children fit in the pool, by bisection.
/// Children whose amount is the same at both bounds are summed once, so that each step of the
/// bisection evaluates only the other ones.
fn highest_feasible_level(
    from: f64,
    pool: [f64; 2],
    claims: &[Claim],
    allocations: &[Amount],
    active: &[usize],
) -> FillStep {
    let mut fixed = sum_of_frozen(allocations, active);
    let total = |fixed: Amount, moving: &[usize], level: f64| {
        moving.iter().fold(fixed, |sum, index| {
            sum.plus(claims[*index].amount_at(level, pool))
        })
    };
    let saturation = active
        .iter()
        .map(|index| claims[*index].saturation_level(pool));
    let (mut low, mut high) = (from, saturation.fold(from, f64::max));
    if fits(total(fixed, active, high), pool) {
        return FillStep {
            level: high,
            all_satisfied: true,
        };
    }
    let mut moving = active.to_vec();
    for _ in 0..MAX_BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if fits(total(fixed, &moving, middle), pool) {
            low = middle;
            moving.retain(|index| {
                let is_met = claims[*index].fraction_at(middle, pool) >= 1.0;
                if is_met {
                    fixed = fixed.plus(claims[*index].interpolate(1.0));
                }
                !is_met
            });
        } else {
            high = middle;
            moving.retain(|index| {
                let at_floor = claims[*index].fraction_at(middle, pool) <= 0.0;
                if at_floor {
                    fixed = fixed.plus(claims[*index].floor);
                }
                !at_floor
            });
        }
        if moving.is_empty() {
            break;
        }
    }
    FillStep {
        level: low,
        all_satisfied: false,
    }
}

/// The sum of what the children that are no longer active have.
fn sum_of_frozen(allocations: &[Amount], active: &[usize]) -> Amount {
    let mut is_active = vec![false; allocations.len()];
    active.iter().for_each(|index| is_active[*index] = true);
    let frozen = allocations
        .iter()
        .zip(&is_active)
        .filter(|(_, active)| !**active);
    frozen.fold(Amount::ZERO, |sum, (amount, _)| sum.plus(*amount))
}

fn fits(sum: Amount, pool: [f64; 2]) -> bool {
    let sum = sum.to_array();
    RESOURCE_KINDS
        .into_iter()
        .all(|kind| sum[kind] <= pool[kind] * (1.0 + POOL_TOLERANCE))
}

#[cfg(test)]
mod tests;
