//! All commands in which two controllers can see, obey and report plans, lose their leases and come
//! back, while whoever leads writes new plans from what it has seen so far: what all may use
//! together stays within the limit. Each condition that the argument rests on is left out once, and
//! then it does not.

use std::collections::HashSet;

use admission_control::plan::{ControllerDemand, ControllerStatus, Demand, Plan, base};

const LIMIT: f64 = 30.0;
const LABELS: [&str; 2] = ["a", "b"];
/// Bounds of the search: plans written, and changes of leases.
const PLANS: usize = 3;
const LEASES: usize = 2;

/// A condition to leave out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// A share rises though another may still use it by an earlier plan.
    WaitingForWord,
    /// A plan that takes a controller for gone is written though it is back.
    GoneStill,
    /// A controller that is back takes up the plan that it remembers.
    SeenSinceBack,
    /// A controller without a lease goes on by its plan.
    Member,
}

/// What the state service has been told, in order.
#[derive(Clone, Debug)]
enum WrittenRecords {
    Joined(usize),
    Left(usize),
    Plan(Plan),
}

#[derive(Clone, Debug)]
struct Controller {
    /// How much of what was written it has seen.
    seen: usize,
    /// Where its present lease was written.
    lease: Option<usize>,
    /// The plan that it last told the leader it obeys.
    said: usize,
}

#[derive(Clone, Debug)]
struct World {
    written: Vec<WrittenRecords>,
    controllers: [Controller; 2],
    /// How much the leader has seen.
    leader: usize,
}

impl World {
    fn start() -> Self {
        let at = |n| Controller {
            seen: 3,
            lease: Some(n),
            said: 2,
        };
        let rows = LABELS.map(|label| ControllerDemand {
            label: label.to_string(),
            status: ControllerStatus::Current,
            demand: Demand::default(),
        });
        let plan = Plan::default().next(LIMIT, &rows);
        Self {
            written: vec![
                WrittenRecords::Joined(0),
                WrittenRecords::Joined(1),
                WrittenRecords::Plan(plan),
            ],
            controllers: [at(0), at(1)],
            leader: 3,
        }
    }

    /// The newest plan among the first so many, and where it stands.
    fn plan(&self, seen: usize) -> Option<(usize, &Plan)> {
        let seen = self.written[..seen].iter().enumerate().rev();
        seen.filter_map(|(at, w)| match w {
            WrittenRecords::Plan(plan) => Some((at, plan)),
            _ => None,
        })
        .next()
    }

    /// Whether a controller has a lease, and since when, by the first so many.
    fn joined(&self, node: usize, seen: usize) -> Option<usize> {
        let seen = self.written[..seen].iter().enumerate().rev();
        seen.filter_map(|(at, w)| match w {
            WrittenRecords::Joined(n) if *n == node => Some(Some(at)),
            WrittenRecords::Left(n) if *n == node => Some(None),
            _ => None,
        })
        .next()
        .flatten()
    }

    fn uses(&self, node: usize, without: Without) -> f64 {
        let base = base(LIMIT, LABELS.len());
        let me = &self.controllers[node];
        let member = match me.lease {
            Some(at) => me.seen > at || without == Without::SeenSinceBack,
            None => without == Without::Member,
        };
        let plan = self.plan(me.seen);
        plan.map_or(base, |(_, plan)| plan.allowance(LABELS[node], member, base))
    }

    /// The leader writes a plan for one who asks for all; none if its conditions do not hold.
    fn lead(&self, hungry: usize, without: Without) -> Option<World> {
        let (newest, old) = self.plan(self.leader)?;
        if self.plan(self.written.len())?.0 != newest {
            return None;
        }
        let mut rows = Vec::new();
        for (node, label) in LABELS.iter().enumerate() {
            let there = self.joined(node, self.leader);
            let back = there.is_none() && self.joined(node, self.written.len()).is_some();
            if back && without != Without::GoneStill {
                return None;
            }
            let status = match there {
                None => ControllerStatus::Absent,
                Some(_)
                    if self.controllers[node].said >= newest
                        || without == Without::WaitingForWord =>
                {
                    ControllerStatus::Current
                }
                Some(_) => ControllerStatus::Stale,
            };
            let waiting = if node == hungry { 1_000.0 } else { 0.0 };
            rows.push(ControllerDemand {
                label: label.to_string(),
                status,
                demand: Demand { used: 0.0, waiting },
            });
        }
        let mut next = self.clone();
        next.written
            .push(WrittenRecords::Plan(old.next(LIMIT, &rows)));
        Some(next)
    }

    fn steps(&self, without: Without) -> Vec<World> {
        let mut steps = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut next = self.clone();
            change(&mut next);
            steps.push(next);
        };
        let len = self.written.len();
        if self.leader < len {
            step(&|w| w.leader += 1);
        }
        let leases = self.written[3..]
            .iter()
            .filter(|w| !matches!(w, WrittenRecords::Plan(_)))
            .count();
        for node in 0..LABELS.len() {
            let me = &self.controllers[node];
            if me.seen < len {
                step(&|w| w.controllers[node].seen += 1);
            }
            let member = me.lease.is_some_and(|at| me.seen > at);
            if let Some((at, _)) = self.plan(me.seen)
                && member
                && me.said < at
            {
                step(&|w| w.controllers[node].said = at);
            }
            if leases < LEASES && me.lease.is_some() {
                step(&|w| {
                    w.controllers[node].lease = None;
                    w.written.push(WrittenRecords::Left(node));
                });
            } else if leases < LEASES {
                step(&|w| {
                    w.controllers[node].lease = Some(len);
                    w.written.push(WrittenRecords::Joined(node));
                });
            }
        }
        if len - 3 - leases < PLANS {
            steps.extend((0..LABELS.len()).filter_map(|hungry| self.lead(hungry, without)));
        }
        steps
    }
}

/// The number of states, and the most that was used in any.
fn explore(without: Without) -> (usize, f64) {
    let mut known = HashSet::new();
    let mut open = vec![World::start()];
    let mut most: f64 = 0.0;
    while let Some(world) = open.pop() {
        if !known.insert(format!("{world:?}")) {
            continue;
        }
        let used = (0..LABELS.len()).map(|n| world.uses(n, without)).sum();
        most = most.max(used);
        if most > LIMIT + 1e-6 {
            break;
        }
        open.extend(world.steps(without));
    }
    (known.len(), most)
}

#[test]
fn whatever_is_seen_late_the_sum_stays_within_the_limit() {
    let (states, most) = explore(Without::Nothing);
    assert!(most <= LIMIT + 1e-6, "{most}");
    assert!(states > 50_000, "only {states} states");
}

#[test]
fn without_any_one_condition_the_limit_is_broken() {
    for without in [
        Without::WaitingForWord,
        Without::GoneStill,
        Without::SeenSinceBack,
        Without::Member,
    ] {
        let (_, most) = explore(without);
        assert!(most > LIMIT + 1e-6, "{without:?}: {most}");
    }
}
