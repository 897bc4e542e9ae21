//! Divides a limit among several controllers by a plan of how much of it each may use.
//!
//! The plan is one record that the leader writes, and each controller follows the newest version that
//! it has read. Some read it late, so a share rises only as far as the shares that may still be in use
//! leave capacity.
//!
//! **Why the sum of the shares stays within the limit.** The record has for each controller its
//! share, and the most that it may be using: the greatest share of any plan that it may still
//! follow. [`Plan::next`] keeps the sum of these within the limit. The most that a controller may
//! be using falls only when it reports that it follows the newest plan (it never returns to an
//! earlier one), or when its lease has expired (then it uses its base share, by its own clock, and
//! follows a plan again only once it has read everything that was written before it regained a
//! lease). A plan that counts a controller as absent is written on condition that the controller is
//! still absent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The fraction of the limit that is always divided evenly, so that no controller has to wait for a
/// plan.
const BASE_FRACTION: f64 = 0.3;
/// A plan that changes no share by more than this fraction of the fair share is not written.
const MIN_SHARE_CHANGE: f64 = 0.15;
/// Target time, in seconds, in which the waiting units are to be served.
const DRAIN_S: f64 = 3.0;
/// Factor on raises of shares, so that rounding errors do not exceed the limit.
const ROUNDING_MARGIN: f64 = 1.0 - 1e-9;
/// Lower bound of divisors, so that none is zero.
const MIN_DIVISOR: Rate = 1e-9;

/// A rate: units of the limited resource a second.
pub type Rate = f64;

/// The demand of a controller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Recent usage, in units a second.
    pub used: Rate,
    /// Units that wait to be served.
    pub waiting: f64,
}

impl Demand {
    fn rate(self) -> Rate {
        self.used + self.waiting / DRAIN_S
    }
}

/// Which plan a controller follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerStatus {
    /// The newest, by its own report.
    Current,
    /// Possibly an earlier one.
    Stale,
    /// None, because it has no lease.
    Absent,
}

/// A controller and its demand.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerDemand {
    /// The controller's label.
    pub label: String,
    /// Which plan it follows.
    pub status: ControllerStatus,
    /// The controller's demand; ignored if it is absent.
    pub demand: Demand,
}

impl ControllerDemand {
    fn is_present(&self) -> bool {
        self.status != ControllerStatus::Absent
    }
}

/// How much each controller may use, by its label.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The share of each controller that follows this plan.
    pub shares: BTreeMap<String, Rate>,
    /// The most that each may be using, by this or an earlier plan.
    #[serde(rename = "most")]
    pub upper_bounds: BTreeMap<String, Rate>,
}

/// The base share: what a controller may use without having read any plan. `controllers` counts all
/// that share the limit, absent ones included.
pub fn base_share(limit: Rate, controllers: usize) -> Rate {
    limit * BASE_FRACTION / controllers.max(1) as f64
}

impl Plan {
    /// What a controller that follows this plan may use. `is_member` tells whether it has a lease and
    /// has read everything that was written before that lease was granted.
    pub fn allowance(&self, label: &str, is_member: bool, base: Rate) -> Rate {
        match self.shares.get(label) {
            Some(share) if is_member => *share,
            _ => base,
        }
    }

    /// The most that a controller may be using now.
    fn in_use(&self, label: &str, status: ControllerStatus, base: Rate) -> Rate {
        let bound = match status {
            ControllerStatus::Current => self.shares.get(label),
            ControllerStatus::Stale => self.upper_bounds.get(label),
            ControllerStatus::Absent => None,
        };
        bound.copied().unwrap_or(base).max(base)
    }

    /// The successor of this plan. Shares rise only by capacity that no controller may be using.
    #[must_use]
    pub fn next(&self, limit: Rate, controllers: &[ControllerDemand]) -> Plan {
        let base = base_share(limit, controllers.len());
        let targets = target_shares(limit, base, controllers);
        let in_use: Vec<Rate> = controllers
            .iter()
            .map(|controller| self.in_use(&controller.label, controller.status, base))
            .collect();
        let spare = (limit - in_use.iter().sum::<Rate>()).max(0.0);
        let raises = targets.iter().zip(&in_use);
        let requested: Rate = raises.map(|(target, used)| (target - used).max(0.0)).sum();
        let granted_fraction = (spare / requested.max(MIN_DIVISOR)).min(1.0) * ROUNDING_MARGIN;
        let mut plan = Plan::default();
        for ((controller, target), used) in controllers.iter().zip(targets).zip(in_use) {
            let share = if target > used {
                used + (target - used) * granted_fraction
            } else {
                target
            };
            let label = &controller.label;
            plan.shares.insert(label.clone(), share);
            plan.upper_bounds.insert(label.clone(), share.max(used));
        }
        plan
    }

    /// Whether this plan differs enough from `old` to be written.
    pub fn differs_significantly(&self, old: &Plan, limit: Rate) -> bool {
        let fair = limit / self.shares.len().max(1) as f64;
        let changed = |(label, share): (&String, &Rate)| {
            let before = old.shares.get(label).copied().unwrap_or(0.0);
            (share - before).abs() > MIN_SHARE_CHANGE * fair
        };
        self.shares.iter().any(changed)
    }
}

/// The share of each controller if all followed the new plan at once: each gets its base share, and
/// those that are present divide the remainder by demand, and evenly what exceeds the demand.
fn target_shares(limit: Rate, base: Rate, controllers: &[ControllerDemand]) -> Vec<Rate> {
    let excess_demands: Vec<Rate> = controllers
        .iter()
        .map(|controller| {
            if controller.is_present() {
                (controller.demand.rate() - base).max(0.0)
            } else {
                0.0
            }
        })
        .collect();
    let remainder = limit - base * controllers.len() as f64;
    let requested: Rate = excess_demands.iter().sum();
    let granted_fraction = (remainder / requested.max(MIN_DIVISOR)).min(1.0);
    let present = controllers.iter().filter(|c| c.is_present()).count();
    let evenly = (remainder - requested * granted_fraction) / present.max(1) as f64;
    controllers
        .iter()
        .zip(excess_demands)
        .map(|(controller, excess)| {
            if controller.is_present() {
                base + excess * granted_fraction + evenly
            } else {
                base
            }
        })
        .collect()
}

#[cfg(test)]
mod tests;
