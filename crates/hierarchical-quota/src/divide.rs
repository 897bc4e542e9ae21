//! How a node's share is divided among its children: what each is guaranteed first, the rest by
//! weighted dominant-resource fairness, nobody more than it wants.

use crate::amount::Amount;

/// What one child brings into a division.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// What its guarantees give it, whatever the others want.
    pub floor: Amount,
    /// All that it could use.
    pub demand: Amount,
    pub weight: f64,
}

impl Claim {
    fn at(&self, part: f64) -> Amount {
        self.floor.plus(self.demand.minus(self.floor).times(part))
    }

    /// How far on the way from its floor to its demand a child is at a level: its largest share of
    /// any amount divided, over its weight.
    fn part(&self, level: f64, pool: [f64; 2]) -> f64 {
        let (floor, demand) = (self.floor.each(), self.demand.each());
        let mut part: f64 = 1.0;
        for (r, pool) in pool.into_iter().enumerate() {
            let more = demand[r] - floor[r];
            if pool.is_finite() && more > 0.0 {
                part = part.min((level * self.weight * pool - floor[r]) / more);
            }
        }
        part.max(0.0)
    }

    /// The level at which it has all it wants.
    fn full(&self, pool: [f64; 2]) -> f64 {
        let demand = self.demand.each();
        let shares = pool
            .into_iter()
            .zip(demand)
            .filter(|(pool, _)| *pool > 0.0 && pool.is_finite())
            .map(|(pool, demand)| demand / pool);
        shares.fold(0.0, f64::max) / self.weight
    }
}

/// Halvings of the level until what is left undivided is next to nothing.
const HALVINGS: usize = 60;

/// Divides a pool. `governed`: which amounts are divided at all; of the others everybody has what
/// it wants. The floors fit in the pool.
pub fn divide(pool: Amount, governed: [bool; 2], claims: &[Claim]) -> Vec<Amount> {
    let amounts = pool.each();
    let size = [0, 1].map(|r| {
        if governed[r] {
            amounts[r]
        } else {
            f64::INFINITY
        }
    });
    let mut given: Vec<Amount> = claims.iter().map(|c| c.floor).collect();
    // Those whose way on needs an amount that is used up have all they get.
    let mut open: Vec<usize> = (0..claims.len()).collect();
    let mut level = 0.0;
    while !open.is_empty() {
        let (reached, full) = raise(level, size, claims, &given, &open);
        level = reached;
        for index in &open {
            given[*index] = claims[*index].at(claims[*index].part(level, size));
        }
        if full {
            break;
        }
        let left = left_of(size, &given);
        let stuck = |index: &usize| {
            let (claim, now) = (&claims[*index], given[*index].each());
            let wants = |r: usize| claim.demand.each()[r] - now[r] > 1e-9;
            [0, 1]
                .into_iter()
                .any(|r| governed[r] && left[r] <= size[r] * 1e-9 && wants(r))
        };
        let before = open.len();
        open.retain(|index| !stuck(index) && given[*index] != claims[*index].demand);
        if open.len() == before {
            break;
        }
    }
    let whole = |(index, amount): (usize, Amount)| {
        let pick = |r: usize| {
            let (mine, all) = (amount.each()[r], claims[index].demand.each()[r]);
            if governed[r] { mine } else { all }
        };
        Amount::new(pick(0), pick(1))
    };
    given.into_iter().enumerate().map(whole).collect()
}

fn left_of(size: [f64; 2], given: &[Amount]) -> [f64; 2] {
    let used = given.iter().fold(Amount::ZERO, |sum, a| sum.plus(*a));
    [0, 1].map(|r| size[r] - used.each()[r])
}

/// The highest level at which what the open children get still fits, and whether that is all they
/// want. Children whose share does not change between the bounds any more are summed up once, so
/// each halving looks at those that are left.
fn raise(
    from: f64,
    size: [f64; 2],
    claims: &[Claim],
    given: &[Amount],
    open: &[usize],
) -> (f64, bool) {
    let mut is_open = vec![false; claims.len()];
    open.iter().for_each(|index| is_open[*index] = true);
    let closed = given.iter().zip(&is_open).filter(|(_, open)| !**open);
    let mut fixed = closed.fold(Amount::ZERO, |sum, (a, _)| sum.plus(*a));
    let fits = |sum: Amount| {
        let sum = sum.each();
        [0, 1]
            .into_iter()
            .all(|r| sum[r] <= size[r] * (1.0 + 1e-12))
    };
    let total = |fixed: Amount, moving: &[usize], level: f64| {
        moving.iter().fold(fixed, |sum, index| {
            let claim = &claims[*index];
            sum.plus(claim.at(claim.part(level, size)))
        })
    };
    let full = open.iter().map(|i| claims[*i].full(size));
    let (mut low, mut high) = (from, full.fold(from, f64::max));
    if fits(total(fixed, open, high)) {
        return (high, true);
    }
    let mut moving = open.to_vec();
    for _ in 0..HALVINGS {
        let middle = (low + high) / 2.0;
        if fits(total(fixed, &moving, middle)) {
            low = middle;
            moving.retain(|index| {
                let there = claims[*index].part(middle, size) >= 1.0;
                if there {
                    fixed = fixed.plus(claims[*index].at(1.0));
                }
                !there
            });
        } else {
            high = middle;
            moving.retain(|index| {
                let still = claims[*index].part(middle, size) <= 0.0;
                if still {
                    fixed = fixed.plus(claims[*index].floor);
                }
                !still
            });
        }
        if moving.is_empty() {
            break;
        }
    }
    (low, false)
}

#[cfg(test)]
mod tests;
