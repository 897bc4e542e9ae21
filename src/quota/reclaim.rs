//! Which tasks to stop so that work within its entitlement finds capacity.
//!
//! Under a quota tree a team may borrow: use more than it is entitled to while other teams leave
//! capacity unused. Borrowed capacity is reclaimed when those teams need it. A [`ReclaimPlanner`]
//! chooses the tasks to stop for one job. It counts every stop before it chooses the next one, so
//! that several stops together never take a team below its entitlement.

use std::cell::RefCell;

use hierarchical_quota::{Amount, NodeIndex, ResourceRequest};
use rustc_hash::FxHashMap as HashMap;

use super::hierarchical::ActiveTree;
use crate::jobs::cache::JobCache;
use crate::preempt::{PreemptionOffer, PreemptionSite, Victim, cheapest_set, offer_on_site};
use crate::types::{MachineId, Resources, TaskId, Team};

/// Overuse is rounded up to steps of one part in this many of the root's guarantee, so that among
/// borrowers about equally far over their entitlement the wasted work decides.
const OVERUSE_STEPS_PER_ROOT: f64 = 64.0;

/// A machine is reserved only if at least this fraction of the task's resources is available there
/// at once. On a machine with less, most of the reservation would be spent waiting.
const MIN_AVAILABLE_FRACTION: f64 = 0.25;

/// Resources that a team is about to gain or lose.
#[derive(Clone, Debug)]
pub struct TeamUsage {
    /// The team whose usage changes.
    pub team: Team,
    /// The amount of the change; whether it is a gain or a loss depends on the list it is in.
    pub resources: Resources,
}

/// Changes of usage by decisions that have not taken effect yet.
#[derive(Clone, Debug, Default)]
pub struct PendingUsage {
    /// Capacity that is being freed for jobs of these teams.
    pub gained: Vec<TeamUsage>,
    /// Capacity of tasks that are being stopped.
    pub lost: Vec<TeamUsage>,
}

/// A machine to reserve for a task, and the tasks to stop there at once.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineReservation {
    /// The machine to reserve.
    pub machine_id: MachineId,
    /// Tasks to stop there; the machine's other tasks run to completion.
    pub victims: Vec<TaskId>,
}

/// What determines whether a task may be stopped: its team, its size, and how many tasks of that
/// team are stopped on the same machine before it. Amounts are kept as their bits, which can be
/// compared for equality and hashed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VictimKey {
    team: Team,
    cpus: u64,
    gpus: u64,
    stopped_before: u32,
}

/// Plans which tasks to stop for one job, by the teams' observed usage and its pending changes.
#[derive(Clone)]
pub struct ReclaimPlanner<'a> {
    tree: &'a ActiveTree,
    jobs: &'a JobCache,
    /// The job's team and its node.
    team: Team,
    leaf: NodeIndex,
    wanted: ResourceRequest,
    pending: PendingUsage,
    /// Cache of the overuse by victim, cleared whenever a stop is planned. `None`: the victim must
    /// not be stopped.
    overuse_cache: RefCell<HashMap<VictimKey, Option<i64>>>,
}

impl<'a> ReclaimPlanner<'a> {
    /// A planner for the request `wanted` of a team. `None`: the team is not in the tree.
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
            overuse_cache: RefCell::default(),
        })
    }

    /// What the teams below a node will use after the pending changes, and after the tasks with
    /// the usage `also_stopped` are stopped too.
    fn used(&self, ix: NodeIndex, also_stopped: &[TeamUsage]) -> Amount {
        let sum = |usages: &[TeamUsage]| {
            usages
                .iter()
                .filter(|usage| self.tree.is_below(&usage.team, ix))
                .fold(Resources::default(), |sum, usage| sum.plus(usage.resources))
        };
        let observed = self.jobs.observed_usage(self.tree.usage_name(ix));
        let lost = sum(&self.pending.lost).plus(sum(also_stopped));
        observed.plus(sum(&self.pending.gained)).minus(lost).into()
    }

    /// Whether the wanted request is within the team's entitlement.
    fn within_entitlement(&self) -> bool {
        let used = self.used(self.leaf, &[]);
        self.tree
            .entitlements
            .is_within_entitlement(self.leaf, used, self.wanted)
    }

    /// How far a team is over its entitlement, in steps, if one of its tasks may be stopped after
    /// `stopped_before` others, which are counted with the size of this task. `None`: the task must
    /// not be stopped.
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
        if let Some(known) = self.overuse_cache.borrow().get(&key) {
            return *known;
        }
        let victim_leaf = self.tree.leaf(team)?;
        let also_stopped = [TeamUsage {
            team: team.clone(),
            resources: resources.times(f64::from(stopped_before)),
        }];
        let used = |ix| self.used(ix, &also_stopped);
        let allowed = self.tree.entitlements.may_reclaim(
            victim_leaf,
            resources.into(),
            self.leaf,
            self.wanted,
            used,
        );
        let overuse = allowed.then(|| overuse_steps(self.tree, victim_leaf, used(victim_leaf)));
        self.overuse_cache.borrow_mut().insert(key, overuse);
        overuse
    }

    /// A site with only those victims that may be stopped. All of them may be chosen together, so
    /// each task of a team is checked as if the team's tasks before it had been stopped.
    fn with_allowed_victims(&self, site: &PreemptionSite) -> PreemptionSite {
        let mut stopped: HashMap<&Team, u32> = HashMap::default();
        let mut victims = Vec::with_capacity(site.victims.len());
        for victim in &site.victims {
            let mut overuse = None;
            if let Some(team) = victim
                .borrowing_team
                .as_ref()
                .filter(|_| !victim.already_stopping)
            {
                let stopped_before = stopped.entry(team).or_default();
                overuse = self.reclaimable_overuse(team, victim.resources, *stopped_before);
                *stopped_before += u32::from(overuse.is_some());
            }
            if victim.already_stopping || victim.unconditional || overuse.is_some() {
                victims.push(Victim {
                    overuse_steps: overuse,
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

    /// Removes the cheapest site for one more task from `sites`, and counts its stops as pending.
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
        for victim in site
            .victims
            .iter()
            .filter(|victim| !victim.already_stopping)
        {
            if let Some(team) = &victim.borrowing_team
                && best.victims.contains(&victim.task)
            {
                self.pending.lost.push(TeamUsage {
                    team: team.clone(),
                    resources: victim.resources,
                });
            }
        }
        self.overuse_cache.borrow_mut().clear();
        Some(best)
    }

    /// The stops for up to `max_tasks` tasks, each on a machine of its own. For the first task,
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

    /// The machines and stops for all `count` tasks of a gang, or an empty list if not all tasks
    /// can be placed on these sites. The wanted amount is that of the whole gang, so its tasks are
    /// not added to the pending usage one by one.
    pub fn plan_gang(
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

    /// The machine to reserve for a task that needs most of a machine, when no machine has enough
    /// borrowed work to stop for it: the one where the largest fraction of its resources is
    /// available after borrowed work is stopped; among equals, the one whose other tasks end first.
    ///
    /// `remaining_s` returns the seconds until all tasks that are not stopped on a machine have
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
            b.available_fraction
                .total_cmp(&a.available_fraction)
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
            .filter(|victim| victim.already_stopping || victim.overuse_steps.is_some());
        let available = freed
            .clone()
            .fold(site.available, |sum, victim| sum.plus(victim.resources));
        let available_fraction = available.dominant_share(resources).min(1.0);
        let victims: Vec<TaskId> = freed
            .filter(|victim| !victim.already_stopping)
            .map(|victim| victim.task.clone())
            .collect();
        let remaining_s = remaining_s(site, &victims)?;
        (available_fraction >= MIN_AVAILABLE_FRACTION).then_some(ReservationCandidate {
            available_fraction,
            remaining_s,
            machine_id: &site.machine_id,
            victims,
        })
    }
}

/// A machine that could be reserved.
struct ReservationCandidate<'a> {
    /// The fraction of the task's resources that is available at once, at most 1.
    available_fraction: f64,
    /// Seconds until the machine's remaining tasks have ended.
    remaining_s: f64,
    machine_id: &'a MachineId,
    victims: Vec<TaskId>,
}

/// How far a leaf with the usage `used` is over its entitlement, in steps of
/// 1 / [`OVERUSE_STEPS_PER_ROOT`] of the root's guarantee, rounded up; 0 if it is within it.
pub fn overuse_steps(tree: &ActiveTree, leaf: NodeIndex, used: Amount) -> i64 {
    (tree.entitlements.overuse(leaf, used) * OVERUSE_STEPS_PER_ROOT).ceil() as i64
}
