//! How a node's entitlement is divided among its children: first what each is guaranteed, then the
//! rest by weighted dominant-resource fairness. No child gets more than it demands.
//!
//! Amounts are looped over by kind of resource: index 0 is CPUs, index 1 is GPUs.

use crate::amount::Amount;

/// The kinds of resources by index.
const KINDS: [usize; 2] = [0, 1];

/// Halvings of the level until the amount left undivided is negligible: a double has 52 bits of
/// fraction.
const MAX_HALVINGS: usize = 60;

/// A kind of resource counts as used up when this part of the pool or less is left, and a demand as
/// met when it lacks no more than this.
const EXHAUSTED: f64 = 1e-9;

/// Relative rounding error that is allowed when a sum is compared with the pool.
const POOL_TOLERANCE: f64 = 1e-12;

/// The claim of one child in a division.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// What its guarantees give it, regardless of the others' demand.
    pub floor: Amount,
    /// The most that it could use.
    pub demand: Amount,
    /// Its weight among its siblings.
    pub weight: f64,
}

impl Claim {
    /// The amount at a fraction of the way from the floor to the demand.
    fn at(&self, fraction: f64) -> Amount {
        self.floor
            .plus(self.demand.minus(self.floor).times(fraction))
    }

    /// The fraction of the way from its floor to its demand that a child has at a level. The level
    /// is its dominant share, the largest part of any kind of resource in the pool, over its
    /// weight.
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
        self.at(self.fraction_at(level, pool))
    }

    /// The level at which its demand is met.
    fn full_level(&self, pool: [f64; 2]) -> f64 {
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
/// `governed` tells for CPUs and GPUs whether they are divided at all; of a kind that is not, each
/// child gets its demand. The floors must fit in the pool.
#[must_use]
pub fn divide(pool: Amount, governed: [bool; 2], claims: &[Claim]) -> Vec<Amount> {
    let amounts = pool.to_array();
    let pool = KINDS.map(|kind| {
        if governed[kind] {
            amounts[kind]
        } else {
            f64::INFINITY
        }
    });
    let given = fill(pool, governed, claims);
    given
        .into_iter()
        .zip(claims)
        .map(|(amount, claim)| {
            let [cpus, gpus] = KINDS.map(|kind| {
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

/// Raises the level of all children together. When a kind of resource is used up, those that need
/// more of it keep what they have, and the others go on.
fn fill(pool: [f64; 2], governed: [bool; 2], claims: &[Claim]) -> Vec<Amount> {
    let mut given: Vec<Amount> = claims.iter().map(|claim| claim.floor).collect();
    let mut open: Vec<usize> = (0..claims.len()).collect();
    let mut level = 0.0;
    while !open.is_empty() {
        let raised = raise(level, pool, claims, &given, &open);
        level = raised.level;
        for index in &open {
            given[*index] = claims[*index].amount_at(level, pool);
        }
        if raised.all_met {
            break;
        }
        let left = left_in(pool, &given);
        let is_stuck = |index: usize| {
            let (demand, now) = (claims[index].demand.to_array(), given[index].to_array());
            KINDS.into_iter().any(|kind| {
                governed[kind]
                    && left[kind] <= pool[kind] * EXHAUSTED
                    && demand[kind] - now[kind] > EXHAUSTED
            })
        };
        let before = open.len();
        open.retain(|index| !is_stuck(*index) && given[*index] != claims[*index].demand);
        if open.len() == before {
            break;
        }
    }
    given
}

/// What is left of the pool.
fn left_in(pool: [f64; 2], given: &[Amount]) -> [f64; 2] {
    let used = given
        .iter()
        .fold(Amount::ZERO, |sum, amount| sum.plus(*amount));
    KINDS.map(|kind| pool[kind] - used.to_array()[kind])
}

/// The level that the open children were raised to.
struct Raised {
    level: f64,
    /// Their demands are met.
    all_met: bool,
}

/// Finds the highest level at which what the open children get fits in the pool, by bisection.
/// Children whose amount is the same at both bounds are summed up once, so that each halving looks
/// only at the others.
fn raise(from: f64, pool: [f64; 2], claims: &[Claim], given: &[Amount], open: &[usize]) -> Raised {
    let mut fixed = sum_of_closed(given, open);
    let total = |fixed: Amount, moving: &[usize], level: f64| {
        moving.iter().fold(fixed, |sum, index| {
            sum.plus(claims[*index].amount_at(level, pool))
        })
    };
    let full = open.iter().map(|index| claims[*index].full_level(pool));
    let (mut low, mut high) = (from, full.fold(from, f64::max));
    if fits(total(fixed, open, high), pool) {
        return Raised {
            level: high,
            all_met: true,
        };
    }
    let mut moving = open.to_vec();
    for _ in 0..MAX_HALVINGS {
        let middle = (low + high) / 2.0;
        if fits(total(fixed, &moving, middle), pool) {
            low = middle;
            moving.retain(|index| {
                let is_met = claims[*index].fraction_at(middle, pool) >= 1.0;
                if is_met {
                    fixed = fixed.plus(claims[*index].at(1.0));
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
    Raised {
        level: low,
        all_met: false,
    }
}

/// The sum of what the children that are no longer open have.
fn sum_of_closed(given: &[Amount], open: &[usize]) -> Amount {
    let mut is_open = vec![false; given.len()];
    open.iter().for_each(|index| is_open[*index] = true);
    let closed = given.iter().zip(&is_open).filter(|(_, open)| !**open);
    closed.fold(Amount::ZERO, |sum, (amount, _)| sum.plus(*amount))
}

fn fits(sum: Amount, pool: [f64; 2]) -> bool {
    let sum = sum.to_array();
    KINDS
        .into_iter()
        .all(|kind| sum[kind] <= pool[kind] * (1.0 + POOL_TOLERANCE))
}

#[cfg(test)]
mod tests;
