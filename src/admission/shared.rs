//! The changes that all controllers share: what each tells of its need, and the plan that divides
//! them. Why the sum holds: `admission_control::plan`.

use admission_control::plan::{ControllerStatus, Demand, Plan};
use rustc_hash::FxHashMap as HashMap;

use crate::types::{ControllerId, Millis, Revision};

/// The plan's record.
pub const PLAN: &str = "jt/admission";
/// A plan follows another after this long at the earliest.
const PLAN_EVERY: Millis = Millis(2_000);
/// What is used is measured in steps of this.
const MEASURE: Millis = Millis(500);
/// How much the newest step counts.
const NEWEST: f64 = 0.35;
/// What leases take past the budget.
const LEFT_FOR_LEASES: f64 = 0.01;

/// What a controller said of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionReport {
    /// The plan that it obeys, if it obeys one.
    pub obeys: Revision,
    pub demand: Demand,
}

#[derive(Debug, Default)]
pub struct Shared {
    pub plan: Plan,
    pub version: Revision,
    pub said: HashMap<ControllerId, AdmissionReport>,
    /// Changes written since the last measurement.
    written: f64,
    measured: Millis,
    used: f64,
    pub writing: bool,
    planned: Millis,
    /// What the budget was last told.
    pub allowed: f64,
}

impl Shared {
    pub fn apply(&mut self, data: Option<&str>, version: Revision) {
        if version <= self.version {
            return;
        }
        match data.map(serde_json::from_str).transpose() {
            Ok(plan) => {
                self.plan = plan.unwrap_or_default();
                self.version = version;
            }
            Err(error) => tracing::error!(%error, "admission plan record is invalid"),
        }
    }

    pub fn wrote(&mut self, changes: usize) {
        self.written += changes as f64;
    }

    /// Our own need; `waiting`: changes that should have been made by now.
    pub fn demand(&mut self, waiting: usize, now: Millis) -> Demand {
        let passed = now.since(self.measured);
        if passed >= MEASURE {
            let rate = std::mem::take(&mut self.written) / passed.secs();
            self.used += (rate - self.used) * NEWEST;
            self.measured = now;
        }
        Demand {
            used: self.used,
            waiting: waiting as f64,
        }
    }

    /// What of the state service's limit the plan divides.
    pub fn limit(write_rps: f64) -> f64 {
        write_rps * (1.0 - LEFT_FOR_LEASES)
    }

    /// The plan to be written now, if one is worth it. `present`: who has a lease.
    pub fn next(
        &self,
        limit: f64,
        controllers: impl Iterator<Item = ControllerId>,
        present: impl Fn(&ControllerId) -> bool,
        now: Millis,
    ) -> Option<Plan> {
        if self.writing || now.since(self.planned) < PLAN_EVERY && self.version != Revision(0) {
            return None;
        }
        let rows: Vec<(String, ControllerStatus, Demand)> = controllers
            .map(|controller| {
                let said = self.said.get(&controller).copied().unwrap_or_default();
                let status = if !present(&controller) {
                    ControllerStatus::Gone
                } else if said.obeys == self.version && self.version != Revision(0) {
                    ControllerStatus::Obeys
                } else {
                    ControllerStatus::Late
                };
                (controller.to_string(), status, said.demand)
            })
            .collect();
        let plan = self.plan.next(limit, &rows);
        plan.matters(&self.plan, limit).then_some(plan)
    }

    pub fn planned(&mut self, now: Millis) {
        self.writing = true;
        self.planned = now;
    }
}
