//! Whom to stop so that work within its share of the tree finds room: several tasks' room in one
//! go, each stop counted before the next is chosen, so that nobody is taken below its share.

use std::cell::RefCell;

use hierarchical_quota::{Amount, NodeIx, Wanted};
use rustc_hash::FxHashMap as HashMap;

use super::hierarchical::ActiveTree;
use crate::jobs::cache::JobCache;
use crate::preempt::{PreemptionOffer, Site, Victim, cheapest_set, offer};
use crate::types::{MachineId, Resources, TaskId, Team};

/// How far a borrower is over its share is told apart in steps of this part of the whole: among
/// those about as far over, waste decides.
const STEPS: f64 = 64.0;

/// Room is gathered on a machine where this part of it is free at once.
const LEAST_GATHERED: f64 = 0.25;

/// A team, the bits of what its task takes, and how many such are stopped before.
type Question = (Team, [u64; 2], u32);

/// What the teams use, and what is about to change hands.
#[derive(Clone)]
pub struct Ledger<'a> {
    force: &'a ActiveTree,
    jobs: &'a JobCache,
    leaf: NodeIx,
    team: Team,
    wanted: Wanted,
    /// Room that is being made, and room of tasks that are being stopped.
    coming: Vec<(Team, Resources)>,
    leaving: Vec<(Team, Resources)>,
    /// Answers as long as nothing changes: by team, task, and how many of the team's tasks the
    /// same machine has in line before it.
    known: RefCell<HashMap<Question, Option<i64>>>,
}

impl<'a> Ledger<'a> {
    /// None: the team is not in the tree.
    pub fn new(
        force: &'a ActiveTree,
        jobs: &'a JobCache,
        team: &Team,
        total: Resources,
        task: Resources,
        coming: Vec<(Team, Resources)>,
        leaving: Vec<(Team, Resources)>,
    ) -> Option<Self> {
        let wanted = Wanted {
            total: total.into(),
            task: task.into(),
        };
        Some(Self {
            force,
            jobs,
            leaf: force.leaf(team)?,
            team: team.clone(),
            wanted,
            coming,
            leaving,
            known: RefCell::default(),
        })
    }

    fn used(&self, ix: NodeIx, also: &[(Team, Resources)]) -> Amount {
        let sum = |amounts: &[(Team, Resources)]| {
            let its = amounts
                .iter()
                .filter(|(team, _)| self.force.counts(team, ix));
            its.fold(Resources::default(), |sum, (_, resources)| {
                sum.plus(*resources)
            })
        };
        let now = self.jobs.standing(self.force.name(ix));
        let left = sum(&self.leaving).plus(sum(also));
        now.plus(sum(&self.coming)).minus(left).into()
    }

    /// Whether one more is within the team's share.
    fn within(&self) -> bool {
        let used = self.used(self.leaf, &[]);
        self.force.shares.within(self.leaf, used, self.wanted)
    }

    /// How far a team is over its share, in steps, if a task of it may be stopped when `before`
    /// others of the same size are.
    fn borrowed(&self, team: &Team, resources: Resources, before: u32) -> Option<i64> {
        let key = (
            team.clone(),
            [resources.cpus.to_bits(), resources.gpus.to_bits()],
            before,
        );
        if let Some(known) = self.known.borrow().get(&key) {
            return *known;
        }
        let from = self.force.leaf(team)?;
        let also = vec![(team.clone(), resources.times(f64::from(before)))];
        let used = |ix| self.used(ix, &also);
        let shares = &self.force.shares;
        let may = shares.may_reclaim(from, resources.into(), self.leaf, self.wanted, used);
        let over = may.then(|| overuse_steps(self.force, from, used(from)));
        self.known.borrow_mut().insert(key, over);
        over
    }

    /// A site with those victims only that may be stopped. Tasks of one team on one machine may all
    /// be chosen: together they must not take it below its share.
    fn judge(&self, site: &Site) -> Site {
        let mut before: HashMap<&Team, u32> = HashMap::default();
        let mut victims = Vec::with_capacity(site.victims.len());
        for victim in &site.victims {
            let mut over = None;
            if let Some(team) = victim.team.as_ref().filter(|_| !victim.leaving) {
                let count = before.entry(team).or_default();
                over = self.borrowed(team, victim.resources, *count);
                *count += u32::from(over.is_some());
            }
            if victim.leaving || victim.lower || over.is_some() {
                victims.push(Victim {
                    over,
                    ..victim.clone()
                });
            }
        }
        Site {
            victims,
            machine_id: site.machine_id.clone(),
            nested: true,
            ..*site
        }
    }

    /// The cheapest site for one more task, with its stops counted.
    fn pick(&mut self, resources: Resources, sites: &mut Vec<Site>) -> Option<PreemptionOffer> {
        let offers = sites
            .iter()
            .filter_map(|site| offer(resources, &self.judge(site)));
        let best = cheapest_set(std::iter::once(offers.collect()), 1)?.pop()?;
        let at = sites
            .iter()
            .position(|site| site.machine_id == best.machine_id)?;
        let site = sites.swap_remove(at);
        for victim in site.victims.iter().filter(|victim| !victim.leaving) {
            if let Some(team) = &victim.team
                && best.victims.contains(&victim.task)
            {
                self.leaving.push((team.clone(), victim.resources));
            }
        }
        self.known.borrow_mut().clear();
        Some(best)
    }

    /// Where to make room for up to `most` tasks, each on a machine of its own. The first may be
    /// made room for by priority alone; the others must be within the team's share.
    pub fn plan(
        mut self,
        resources: Resources,
        mut sites: Vec<Site>,
        most: usize,
    ) -> Vec<PreemptionOffer> {
        let mut chosen = Vec::new();
        while chosen.len() < most && (chosen.is_empty() || self.within()) {
            let Some(best) = self.pick(resources, &mut sites) else {
                break;
            };
            self.coming.push((self.team.clone(), resources));
            chosen.push(best);
        }
        chosen
    }

    /// For a task that needs most of a machine when no machine's borrowed work makes up its room:
    /// where most of it is there at once. Borrowed work there stops, and room that comes free is
    /// kept for a while. `rest_s`: seconds until what is not stopped on a machine has ended; none: too long.
    pub fn gather(
        self,
        resources: Resources,
        sites: &[Site],
        rest_s: impl Fn(&Site, &[TaskId]) -> Option<f64>,
    ) -> Option<(MachineId, Vec<TaskId>)> {
        if !self.within() {
            return None;
        }
        let best = sites.iter().filter_map(|site| {
            let judged = self.judge(site);
            let got = judged
                .victims
                .iter()
                .filter(|v| v.leaving || v.over.is_some());
            let available = got
                .clone()
                .fold(site.available, |sum, v| sum.plus(v.resources));
            let part = available.share_of(resources).min(1.0);
            let stopped = got.filter(|v| !v.leaving).map(|v| v.task.clone());
            let stopped: Vec<TaskId> = stopped.collect();
            let rest = rest_s(site, &stopped)?;
            (part >= LEAST_GATHERED).then_some((rest, part, &site.machine_id, stopped))
        });
        let best = best.min_by(|a, b| {
            let by_part = b.1.total_cmp(&a.1).then(a.0.total_cmp(&b.0));
            by_part.then(a.2.cmp(b.2))
        });
        best.map(|(_, _, machine_id, stopped)| (machine_id.clone(), stopped))
    }

    /// Where to make room for all tasks of a gang among these sites, or nowhere. The claim is that
    /// of the whole gang, so its tasks are not counted as they come.
    pub fn plan_all(
        mut self,
        resources: Resources,
        mut sites: Vec<Site>,
        count: usize,
    ) -> Vec<PreemptionOffer> {
        let picks = (0..count).map_while(|_| self.pick(resources, &mut sites));
        let chosen: Vec<PreemptionOffer> = picks.collect();
        if chosen.len() == count {
            chosen
        } else {
            Vec::new()
        }
    }
}

/// How far a leaf that uses so much is over its share, in steps.
pub fn overuse_steps(force: &ActiveTree, leaf: NodeIx, used: Amount) -> i64 {
    (force.shares.over(leaf, used) * STEPS).ceil() as i64
}
