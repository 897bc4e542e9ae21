//! Explores all orders in which two controllers can read, apply and report plans, lose their leases
//! and rejoin, while the leader writes new plans from its possibly stale view, and checks that the
//! sum of their allowances stays within the limit. Each condition that `plan` relies on is removed
//! once, and then the limit is exceeded.

use std::collections::HashSet;

use admission_control::plan::{ControllerDemand, ControllerStatus, Demand, Plan, base_share};

const LIMIT: f64 = 30.0;
const LABELS: [&str; 2] = ["a", "b"];
/// Bounds of the search: plans written, and lease changes.
const MAX_PLANS: usize = 3;
const MAX_LEASE_CHANGES: usize = 2;

/// The condition of the safety argument that is removed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// Without it a share rises while another controller may still use it under an earlier plan.
    WaitForReports,
    /// Without it a plan that treats a controller as absent is written after its return.
    CheckStillAbsent,
    /// Without it a controller that rejoined applies the plan that it had cached.
    ReadPlanAfterRejoin,
    /// Without it a controller without a lease continues to apply its plan.
    LeaseToUsePlan,
}

/// A record written to the store.
#[derive(Clone, Debug)]
enum StoredRecord {
    Joined(usize),
    Left(usize),
    Plan(Plan),
}

#[derive(Clone, Debug)]
struct Controller {
    /// Number of records that it has read.
    seen: usize,
    /// Index of the record of its current lease.
    lease: Option<usize>,
    /// Index of the plan that it last reported as applied.
    reported_plan: usize,
}

#[derive(Clone, Debug)]
struct ModelState {
    written: Vec<StoredRecord>,
    controllers: [Controller; 2],
    /// Number of records that the leader has read.
    leader: usize,
}

impl ModelState {
    fn start() -> Self {
        let joined = |n| Controller {
            seen: 3,
            lease: Some(n),
            reported_plan: 2,
        };
        let rows = LABELS.map(|label| ControllerDemand {
            label: label.to_string(),
            status: ControllerStatus::Current,
            demand: Demand::default(),
        });
        let plan = Plan::default().next(LIMIT, &rows);
        Self {
            written: vec![
                StoredRecord::Joined(0),
                StoredRecord::Joined(1),
                StoredRecord::Plan(plan),
            ],
            controllers: [joined(0), joined(1)],
            leader: 3,
        }
    }

    /// The newest plan among the first `seen` records, with its index.
    fn plan(&self, seen: usize) -> Option<(usize, &Plan)> {
        let seen = self.written[..seen].iter().enumerate().rev();
        seen.filter_map(|(at, w)| match w {
            StoredRecord::Plan(plan) => Some((at, plan)),
            _ => None,
        })
        .next()
    }

    /// Index of a controller's lease by the first `seen` records; `None` without a lease.
    fn lease_start(&self, controller: usize, seen: usize) -> Option<usize> {
        let seen = self.written[..seen].iter().enumerate().rev();
        seen.filter_map(|(at, w)| match w {
            StoredRecord::Joined(n) if *n == controller => Some(Some(at)),
            StoredRecord::Left(n) if *n == controller => Some(None),
            _ => None,
        })
        .next()
        .flatten()
    }

    fn uses(&self, controller: usize, without: Without) -> f64 {
        let base = base_share(LIMIT, LABELS.len());
        let state = &self.controllers[controller];
        let member = match state.lease {
            Some(at) => state.seen > at || without == Without::ReadPlanAfterRejoin,
            None => without == Without::LeaseToUsePlan,
        };
        let plan = self.plan(state.seen);
        plan.map_or(base, |(_, plan)| {
            plan.allowance(LABELS[controller], member, base)
        })
    }

    /// The leader writes a plan in which one controller demands everything; `None` if the conditions
    /// of the write fail.
    fn write_plan(&self, demanding: usize, without: Without) -> Option<ModelState> {
        let (newest, old) = self.plan(self.leader)?;
        if self.plan(self.written.len())?.0 != newest {
            return None;
        }
        let mut rows = Vec::new();
        for (controller, label) in LABELS.iter().enumerate() {
            let lease = self.lease_start(controller, self.leader);
            let rejoined =
                lease.is_none() && self.lease_start(controller, self.written.len()).is_some();
            if rejoined && without != Without::CheckStillAbsent {
                return None;
            }
            let status = match lease {
                None => ControllerStatus::Absent,
                Some(_)
                    if self.controllers[controller].reported_plan >= newest
                        || without == Without::WaitForReports =>
                {
                    ControllerStatus::Current
                }
                Some(_) => ControllerStatus::Stale,
            };
            let waiting = if controller == demanding {
                1_000.0
            } else {
                0.0
            };
            rows.push(ControllerDemand {
                label: label.to_string(),
                status,
                demand: Demand { used: 0.0, waiting },
            });
        }
        let mut next = self.clone();
        next.written
            .push(StoredRecord::Plan(old.next(LIMIT, &rows)));
        Some(next)
    }

    fn steps(&self, without: Without) -> Vec<ModelState> {
        let mut steps = Vec::new();
        let mut step = |change: &dyn Fn(&mut ModelState)| {
            let mut next = self.clone();
            change(&mut next);
            steps.push(next);
        };
        let len = self.written.len();
        if self.leader < len {
            step(&|w| w.leader += 1);
        }
        let lease_changes = self.written[3..]
            .iter()
            .filter(|w| !matches!(w, StoredRecord::Plan(_)))
            .count();
        for controller in 0..LABELS.len() {
            let state = &self.controllers[controller];
            if state.seen < len {
                step(&|w| w.controllers[controller].seen += 1);
            }
            let member = state.lease.is_some_and(|at| state.seen > at);
            if let Some((at, _)) = self.plan(state.seen)
                && member
                && state.reported_plan < at
            {
                step(&|w| w.controllers[controller].reported_plan = at);
            }
            if lease_changes < MAX_LEASE_CHANGES && state.lease.is_some() {
                step(&|w| {
                    w.controllers[controller].lease = None;
                    w.written.push(StoredRecord::Left(controller));
                });
            } else if lease_changes < MAX_LEASE_CHANGES {
                step(&|w| {
                    w.controllers[controller].lease = Some(len);
                    w.written.push(StoredRecord::Joined(controller));
                });
            }
        }
        if len - 3 - lease_changes < MAX_PLANS {
            steps.extend(
                (0..LABELS.len()).filter_map(|demanding| self.write_plan(demanding, without)),
            );
        }
        steps
    }
}

/// The number of states, and the maximum total usage in any of them.
fn explore(without: Without) -> (usize, f64) {
    let mut visited = HashSet::new();
    let mut pending = vec![ModelState::start()];
    let mut max_used: f64 = 0.0;
    while let Some(state) = pending.pop() {
        if !visited.insert(format!("{state:?}")) {
            continue;
        }
        let used = (0..LABELS.len()).map(|n| state.uses(n, without)).sum();
        max_used = max_used.max(used);
        if max_used > LIMIT + 1e-6 {
            break;
        }
        pending.extend(state.steps(without));
    }
    (visited.len(), max_used)
}

#[test]
fn the_sum_stays_within_the_limit_with_stale_reads() {
    let (states, max_used) = explore(Without::Nothing);
    assert!(max_used <= LIMIT + 1e-6, "{max_used}");
    assert!(states > 50_000, "only {states} states");
}

#[test]
fn each_condition_is_needed_to_keep_the_limit() {
    for without in [
        Without::WaitForReports,
        Without::CheckStillAbsent,
        Without::ReadPlanAfterRejoin,
        Without::LeaseToUsePlan,
    ] {
        let (_, max_used) = explore(without);
        assert!(max_used > LIMIT + 1e-6, "{without:?}: {max_used}");
    }
}
