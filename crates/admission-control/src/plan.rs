//! A limit that several controllers share: a plan of who may use how much of it.
//!
//! The plan is one record that whoever leads writes and everybody obeys as newly as they have seen
//! it. Some see it late, so a share rises only as far as all that may still be in use leaves room.
//!
//! **Why the sum holds.** The record says of each controller its share, and the most that it may be
//! using: the greatest share of any plan that it may still obey. `Plan::next` keeps the sum of these
//! within the limit. What a controller may be using falls only when it says that it obeys the
//! newest plan (it never goes back to an earlier one), or when its lease is over (then it uses its
//! base share by its own clock, and takes up a plan only once it has seen all that was written
//! before it was back). A plan that takes a controller for gone is written on condition that it
//! still is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Of the limit, the part that is always divided evenly, so that nobody has to wait for a plan.
const BASE: f64 = 0.3;
/// A plan that moves no share by more than this part of the fair share is not worth a change.
const MATTERS: f64 = 0.15;
/// What waits is to be gone in about so many seconds.
const DRAIN_S: f64 = 3.0;

/// Units of the limited resource a second.
pub type Rate = f64;

/// How much a controller asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// What it used lately.
    pub used: Rate,
    /// How many units wait.
    pub waiting: f64,
}

impl Demand {
    fn rate(self) -> Rate {
        self.used + self.waiting / DRAIN_S
    }
}

/// What is known of a controller's obedience.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerStatus {
    /// It obeys the newest plan, by its own word.
    Obeys,
    /// It may obey an earlier one.
    Late,
    /// It has no lease.
    Gone,
}

/// Who may use how much.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub shares: BTreeMap<String, Rate>,
    /// The most that each may be using, under this or an earlier plan.
    pub most: BTreeMap<String, Rate>,
}

/// What a controller may use whatever it knows.
pub fn base(limit: Rate, controllers: usize) -> Rate {
    limit * BASE / controllers.max(1) as f64
}

impl Plan {
    /// What a controller may use that obeys this plan. `member`: it has a lease, and has seen all
    /// that was written before it took it.
    pub fn allowance(&self, label: &str, member: bool, base: Rate) -> Rate {
        match self.shares.get(label) {
            Some(share) if member => *share,
            _ => base,
        }
    }

    /// What a controller may be using now.
    fn in_use(&self, label: &str, status: ControllerStatus, base: Rate) -> Rate {
        let known = match status {
            ControllerStatus::Obeys => self.shares.get(label),
            ControllerStatus::Late => self.most.get(label),
            ControllerStatus::Gone => None,
        };
        known.copied().unwrap_or(base).max(base)
    }

    /// The plan that follows this one.
    pub fn next(&self, limit: Rate, controllers: &[(String, ControllerStatus, Demand)]) -> Plan {
        let base = base(limit, controllers.len());
        let wanted = divide(limit, base, controllers);
        let in_use: Vec<Rate> = controllers
            .iter()
            .map(|(label, status, _)| self.in_use(label, *status, base))
            .collect();
        let spare = (limit - in_use.iter().sum::<Rate>()).max(0.0);
        let raises = wanted.iter().zip(&in_use);
        let asked: Rate = raises.map(|(wanted, used)| (wanted - used).max(0.0)).sum();
        // A hair less, for what rounding adds.
        let part = (spare / asked.max(1e-9)).min(1.0) * (1.0 - 1e-9);
        let mut plan = Plan::default();
        for (((label, _, _), wanted), used) in controllers.iter().zip(wanted).zip(in_use) {
            let share = if wanted > used {
                used + (wanted - used) * part
            } else {
                wanted
            };
            plan.shares.insert(label.clone(), share);
            plan.most.insert(label.clone(), share.max(used));
        }
        plan
    }

    /// Whether this plan is worth a change after `old`.
    pub fn matters(&self, old: &Plan, limit: Rate) -> bool {
        let fair = limit / self.shares.len().max(1) as f64;
        let moved = |(label, share): (&String, &Rate)| {
            let before = old.shares.get(label).copied().unwrap_or(0.0);
            (share - before).abs() > MATTERS * fair
        };
        self.shares.iter().any(moved)
    }
}

/// Everybody's base, and the rest by demand; what nobody asks for evenly.
fn divide(
    limit: Rate,
    base: Rate,
    controllers: &[(String, ControllerStatus, Demand)],
) -> Vec<Rate> {
    let present = |status: ControllerStatus| status != ControllerStatus::Gone;
    let asks: Vec<Rate> = controllers
        .iter()
        .map(|(_, status, demand)| {
            if present(*status) {
                (demand.rate() - base).max(0.0)
            } else {
                0.0
            }
        })
        .collect();
    let rest = limit - base * controllers.len() as f64;
    let asked: Rate = asks.iter().sum();
    let part = (rest / asked.max(1e-9)).min(1.0);
    let there = controllers.iter().filter(|(_, s, _)| present(*s)).count();
    let evenly = (rest - asked * part) / there.max(1) as f64;
    let shares = controllers.iter().zip(asks);
    shares
        .map(|((_, status, _), asks)| {
            if present(*status) {
                base + asks * part + evenly
            } else {
                base
            }
        })
        .collect()
}

#[cfg(test)]
mod tests;
