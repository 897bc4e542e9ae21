//! Which tasks to stop so that work within its entitlement finds capacity.
//!
//! Under a quota tree a team may use more than it is entitled to while others leave capacity
//! unused, and must give it back when they need it. A [`ReclaimPlanner`] chooses the tasks to stop
//! for one job. It counts every stop before it chooses the next, so that several stops together
//! never take a team below its entitlement.

use std::cell::RefCell;

use hierarchical_quota::{Amount, NodeIndex, ResourceRequest};
use rustc_hash::FxHashMap as HashMap;

use super::hierarchical::ActiveTree;
use crate::jobs::cache::JobCache;
use crate::preempt::{PreemptionOffer, PreemptionSite, Victim, cheapest_set, offer_on_site};
use crate::types::{MachineId, Resources, TaskId, Team};

/// Overuse is rounded up to steps of this fraction of what the tree's root has: among borrowers
/// that are about as far over their entitlement, the wasted work decides.
const OVERUSE_STEPS_PER_ROOT: f64 = 64.0;

/// A machine is reserved only if at least this part of the task's resources is available there at
/// once. On a machine with less, most of the reservation would be spent waiting.
const MIN_RESERVED_PART: f64 = 0.25;

/// Resources that a team is about to gain or lose.
#[derive(Clone, Debug)]
pub struct TeamUsage {
    /// The team.
    pub team: Team,
    /// What it gains or loses.
    pub resources: Resources,
}

/// Usage that is about to change, by decisions that are not carried out yet.
#[derive(Clone, Debug, Default)]
pub struct PendingUsage {
    /// Capacity that is being made available to jobs of these teams.
    pub gained: Vec<TeamUsage>,
    /// Capacity of tasks that are being stopped.
    pub lost: Vec<TeamUsage>,
}

/// A machine to reserve for a task, and the tasks to stop there at once.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineReservation {
    /// The machine.
    pub machine_id: MachineId,
    /// Tasks to stop there; the others run to their end.
    pub victims: Vec<TaskId>,
}

/// What decides whether a task may be stopped: its team, its size, and how many tasks of the team
/// and that size are stopped on the same machine before it. Amounts are kept as bits, which are
/// equal and hashable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VictimKey {
    team: Team,
    cpus: u64,
    gpus: u64,
    stopped_before: u32,
}

/// Plans which tasks to stop for one job, by the teams' usage and what is about to change in it.
#[derive(Clone)]
pub struct ReclaimPlanner<'a> {
    tree: &'a ActiveTree,
    jobs: &'a JobCache,
    /// The job's team and its node.
    team: Team,
    leaf: NodeIndex,
    wanted: ResourceRequest,
    pending: PendingUsage,
    /// Overuse by victim, as long as no further stop is planned; `None`: must not be stopped.
    known_overuse: RefCell<HashMap<VictimKey, Option<i64>>>,
}

impl<'a> ReclaimPlanner<'a> {
    /// A planner for work of a team that wants `wanted`. `None`: the team is not in the tree.
    pub fn new(
        tree: &'a ActiveTree,
        jobs: &'a JobCache,
        team: &Team,
        wanted: ResourceRequest,
        pending: PendingUsage,
    ) -> Option<Self> {
        Some(Self {
            tree,
            jobs,
            leaf: tree.leaf(team)?,
            team: team.clone(),
            wanted,
            pending,
            known_overuse: RefCell::default(),
        })
    }

    /// What the teams below a node use once all that is pending, and `also` stopping these, is
    /// carried out.
    fn used(&self, ix: NodeIndex, also: &[TeamUsage]) -> Amount {
        let sum = |usages: &[TeamUsage]| {
            usages
                .iter()
                .filter(|usage| self.tree.is_below(&usage.team, ix))
                .fold(Resources::default(), |sum, usage| sum.plus(usage.resources))
        };
        let now = self.jobs.observed_usage(self.tree.usage_name(ix));
        let lost = sum(&self.pending.lost).plus(sum(also));
        now.plus(sum(&self.pending.gained)).minus(lost).into()
    }

    /// Whether one more task is within the team's entitlement.
    fn within_entitlement(&self) -> bool {
        let used = self.used(self.leaf, &[]);
        self.tree
            .entitlements
            .is_within_entitlement(self.leaf, used, self.wanted)
    }

    /// How far a team is over its entitlement, in steps, if one of its tasks may be stopped after
    /// `stopped_before` others of the same size. `None`: it must not be stopped.
    fn reclaimable_overuse(
        &self,
        team: &Team,
        resources: Resources,
        stopped_before: u32,
    ) -> Option<i64> {
        let key = VictimKey {
            team: team.clone(),
            cpus: resources.cpus.to_bits(),
            gpus: resources.gpus.to_bits(),
            stopped_before,
        };
        if let Some(known) = self.known_overuse.borrow().get(&key) {
            return *known;
        }
        let from = self.tree.leaf(team)?;
        let also = [TeamUsage {
            team: team.clone(),
            resources: resources.times(f64::from(stopped_before)),
        }];
        let used = |ix| self.used(ix, &also);
        let shares = &self.tree.entitlements;
        let allowed = shares.may_reclaim(from, resources.into(), self.leaf, self.wanted, used);
        let overuse = allowed.then(|| overuse_steps(self.tree, from, used(from)));
        self.known_overuse.borrow_mut().insert(key, overuse);
        overuse
    }

    /// A site with only those victims that may be stopped. All of them may be chosen, so tasks of
    /// one team are counted one after the other.
    fn with_allowed_victims(&self, site: &PreemptionSite) -> PreemptionSite {
        let mut stopped: HashMap<&Team, u32> = HashMap::default();
        let mut victims = Vec::with_capacity(site.victims.len());
        for victim in &site.victims {
            let mut over = None;
            if let Some(team) = victim.borrowing_team.as_ref().filter(|_| !victim.leaving) {
                let stopped_before = stopped.entry(team).or_default();
                over = self.reclaimable_overuse(team, victim.resources, *stopped_before);
                *stopped_before += u32::from(over.is_some());
            }
            if victim.leaving || victim.unconditional || over.is_some() {
                victims.push(Victim {
                    overuse_steps: over,
                    ..victim.clone()
                });
            }
        }
        PreemptionSite {
            victims,
            machine_id: site.machine_id.clone(),
            under_quota_tree: true,
            ..*site
        }
    }

    /// Takes the cheapest site for one more task out of `sites`, and counts its stops as pending.
    fn take_cheapest(
        &mut self,
        resources: Resources,
        sites: &mut Vec<PreemptionSite>,
    ) -> Option<PreemptionOffer> {
        let offers = sites
            .iter()
            .filter_map(|site| offer_on_site(resources, &self.with_allowed_victims(site)));
        let best = cheapest_set(std::iter::once(offers.collect()), 1)?.pop()?;
        let position = sites
            .iter()
            .position(|site| site.machine_id == best.machine_id)?;
        let site = sites.swap_remove(position);
        for victim in site.victims.iter().filter(|victim| !victim.leaving) {
            if let Some(team) = &victim.borrowing_team
                && best.victims.contains(&victim.task)
            {
                self.pending.lost.push(TeamUsage {
                    team: team.clone(),
                    resources: victim.resources,
                });
            }
        }
        self.known_overuse.borrow_mut().clear();
        Some(best)
    }

    /// Where to stop tasks for up to `max_tasks` tasks, each on a machine of its own. For the first,
    /// priority alone may justify the stops; the others must be within the team's entitlement.
    pub fn plan(
        mut self,
        resources: Resources,
        mut sites: Vec<PreemptionSite>,
        max_tasks: usize,
    ) -> Vec<PreemptionOffer> {
        let mut chosen = Vec::new();
        while chosen.len() < max_tasks && (chosen.is_empty() || self.within_entitlement()) {
            let Some(best) = self.take_cheapest(resources, &mut sites) else {
                break;
            };
            self.pending.gained.push(TeamUsage {
                team: self.team.clone(),
                resources,
            });
            chosen.push(best);
        }
        chosen
    }

    /// The machines and stops for all tasks of a gang among these sites, or none. The wanted amount
    /// is that of the whole gang, so its tasks are not counted one by one.
    pub fn plan_all(
        mut self,
        resources: Resources,
        mut sites: Vec<PreemptionSite>,
        count: usize,
    ) -> Vec<PreemptionOffer> {
        let offers = (0..count).map_while(|_| self.take_cheapest(resources, &mut sites));
        let chosen: Vec<PreemptionOffer> = offers.collect();
        if chosen.len() == count {
            chosen
        } else {
            Vec::new()
        }
    }

    /// The machine to reserve for a task that needs most of one, when no machine has enough
    /// borrowed work to stop for it: the one where the largest part of its resources is available
    /// after borrowed work is stopped, then the one whose other tasks end first.
    ///
    /// `remaining_s` returns the seconds until everything that is not stopped on a machine has
    /// ended; `None` if that takes too long.
    pub fn plan_reservation(
        self,
        resources: Resources,
        sites: &[PreemptionSite],
        remaining_s: impl Fn(&PreemptionSite, &[TaskId]) -> Option<f64>,
    ) -> Option<MachineReservation> {
        if !self.within_entitlement() {
            return None;
        }
        let candidates = sites
            .iter()
            .filter_map(|site| self.reservation_candidate(resources, site, &remaining_s));
        let best = candidates.min_by(|a, b| {
            b.available_part
                .total_cmp(&a.available_part)
                .then(a.remaining_s.total_cmp(&b.remaining_s))
                .then(a.machine_id.cmp(b.machine_id))
        })?;
        Some(MachineReservation {
            machine_id: best.machine_id.clone(),
            victims: best.victims,
        })
    }

    fn reservation_candidate<'s>(
        &self,
        resources: Resources,
        site: &'s PreemptionSite,
        remaining_s: impl Fn(&PreemptionSite, &[TaskId]) -> Option<f64>,
    ) -> Option<ReservationCandidate<'s>> {
        let site_with_victims = self.with_allowed_victims(site);
        let freed = site_with_victims
            .victims
            .iter()
            .filter(|victim| victim.leaving || victim.overuse_steps.is_some());
        let available = freed
            .clone()
            .fold(site.available, |sum, victim| sum.plus(victim.resources));
        let available_part = available.share_of(resources).min(1.0);
        let victims: Vec<TaskId> = freed
            .filter(|victim| !victim.leaving)
            .map(|victim| victim.task.clone())
            .collect();
        let remaining_s = remaining_s(site, &victims)?;
        (available_part >= MIN_RESERVED_PART).then_some(ReservationCandidate {
            available_part,
            remaining_s,
            machine_id: &site.machine_id,
            victims,
        })
    }
}

/// A machine that could be reserved.
struct ReservationCandidate<'a> {
    /// The part of the task's resources that is available at once.
    available_part: f64,
    /// Seconds until the rest is available.
    remaining_s: f64,
    machine_id: &'a MachineId,
    /// Tasks to stop.
    victims: Vec<TaskId>,
}

/// How far a leaf with this usage is over its entitlement, in steps.
pub fn overuse_steps(tree: &ActiveTree, leaf: NodeIndex, used: Amount) -> i64 {
    (tree.entitlements.overuse(leaf, used) * OVERUSE_STEPS_PER_ROOT).ceil() as i64
}
