//! Nested quotas in the controller: the tree's way into force, work within its share, and whose
//! work gives way.

use std::collections::{BTreeMap, BTreeSet};

use hierarchical_quota::Wanted;

use super::{CallPurpose, Controller, Effect};
use crate::jobs::cache::{Job, TaskChange};
use crate::jobs::{JobKind, PriorityClass};
use crate::peers::Message;
use crate::preempt::{PreemptionOffer, Site};
use crate::queue::{Check, ClusterEvent, QueueKey};
use crate::quota;
use crate::quota::hierarchical::{ActiveTree, HEAD, PendingTreeWrite, TreeStatus};
use crate::quota::reclaim::{Ledger, overuse_steps};
use crate::settings::TeamSettings;
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{JobId, MachineId, Millis, Resources, Revision, TaskId, Team};
use crate::workers::reconcile::Stop;

/// Demand is looked over this often.
const REFRESH: Millis = Millis(500);
/// The file is offered to the state service this often until it is in force.
const OFFER: Millis = Millis(2_000);
/// Pages of one transaction: with 8 KiB each they stay below 64 KiB.
const MOST_PAGES: usize = 6;
/// Work beyond a lowered limit is looked for this often.
const DRAIN: Millis = Millis(2_000);
/// Room is made for so many tasks of a job in one go.
const MOST_CLAIMS: u32 = 16;
/// A task that takes this part of a machine can't count on borrowed work to stand together.
const LARGE: f64 = 0.5;
/// It waits so long for other room first; a wait that was interrupted for so long is over.
const PATIENCE: Millis = Millis(8_000);
const FORGOTTEN: Millis = Millis(10_000);
/// Room is gathered for it for so long, and not again for so many times as long.
const GATHERED: Millis = Millis(30_000);
const GATHER_PAUSE: u64 = 3;
/// Room for several tasks is kept this long beyond what the slowest of those it is taken from
/// needs to save.
const KEPT: Millis = Millis(4_000);

impl Controller {
    /// Sees to the tree: offers the file, drops what was replaced, and looks over demand.
    pub(super) fn refresh_quota_tree(&mut self) {
        let jobs = &self.jobs;
        let raised = self
            .quota
            .hierarchy
            .refresh(self.now, REFRESH, || jobs.demands());
        if let Some(raised) = raised {
            let mut queue = std::mem::take(&mut self.scheduler.queue);
            queue.reorder(|id| Some(self.order(self.jobs.get(id)?)));
            // Work within its share that nobody makes room for, any more or yet, asks again.
            queue.wake(self.now, |id, check| {
                let waits = check == Check::Resources
                    && self.scheduler.nominations.of(id, self.now).is_none();
                waits && self.jobs.get(id).is_some_and(|job| self.guaranteed(job))
            });
            self.scheduler.queue = queue;
            self.quota.head_of_line_jobs = self.find_head_of_line_jobs();
            for team in raised {
                self.wake(ClusterEvent::Entitled(team));
            }
        }
        self.drain_excess();
        if self.now.since(self.quota.tree_offered_at) < OFFER
            || !self.store_sync.synced
            || !self.may_place()
        {
            return;
        }
        self.quota.tree_offered_at = self.now;
        let standing = self.quota.hierarchy.standing();
        if standing != self.quota.tree_status {
            self.quota.tree_status = standing;
            match standing {
                TreeStatus::Differs => tracing::error!(
                    "quota tree file conflicts with the active tree of the same revision: raise its revision"
                ),
                TreeStatus::Old => tracing::info!("quota tree file is older than the active one"),
                TreeStatus::New => tracing::info!("quota tree offered"),
                TreeStatus::None | TreeStatus::InForce => {}
            }
        }
        if self.quota.tree_write_in_flight {
            return;
        }
        let ops = self.settings.deployment.state.txn_ops;
        let mut txn = Transaction::default();
        match self.quota.hierarchy.owed(ops.min(MOST_PAGES)) {
            PendingTreeWrite::Pages(pages) => {
                for (key, text) in pages {
                    txn.require(key.clone(), self.quota.hierarchy.page_version(&key));
                    txn.put_text(key, text, None);
                }
            }
            PendingTreeWrite::Head(text, version) => {
                txn.require(HEAD.into(), version);
                txn.put_text(HEAD.into(), text, None);
            }
            PendingTreeWrite::Nothing if self.leading().is_some() => {
                for key in self.quota.hierarchy.leftovers().take(ops) {
                    txn.require(key.clone(), self.quota.hierarchy.page_version(key));
                    txn.drop_key(key.clone());
                }
            }
            PendingTreeWrite::Nothing => {}
        }
        if !txn.changes.is_empty() {
            self.quota.tree_write_in_flight = true;
            self.transact(CallClass::Rest, txn, CallPurpose::Tree);
        }
    }

    pub(super) fn on_tree(&mut self, answer: &StoreResponse) {
        self.quota.tree_write_in_flight = false;
        // There is more to come: at once, while it goes well.
        if matches!(answer, StoreResponse::Committed(_)) {
            self.quota.tree_offered_at = Millis(0);
        }
    }

    pub(super) fn apply_tree(&mut self, key: &str, data: Option<&str>, version: Revision) {
        if self.quota.hierarchy.apply(key, data, version) {
            self.jobs.regroup(self.quota.hierarchy.groups());
            self.quota.head_of_line_jobs.clear();
            self.quota.reclaim_not_before.clear();
            self.wake(ClusterEvent::NewTree);
        }
    }

    /// Whether a job's next task, or all of a gang's, is within what its team is guaranteed: by the
    /// platform, or by the tree and what it lends.
    pub(super) fn guaranteed(&self, job: &Job) -> bool {
        let (wanted, name) = (self.wanted(job), &job.spec.team);
        let flat = self
            .settings
            .team(name)
            .is_some_and(|team| quota::guaranteed(self.jobs.usage(name).plus(wanted), team));
        let nested = |force: &ActiveTree| {
            let leaf = force.leaf(name);
            leaf.is_some_and(|leaf| {
                let used = self.jobs.standing(name).into();
                force.shares.within(leaf, used, amounts(wanted, job))
            })
        };
        flat || self.quota.hierarchy.force().is_some_and(nested)
    }

    /// What is to be placed at once.
    fn wanted(&self, job: &Job) -> Resources {
        let at_once = match job.spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => job.record.tasks,
        };
        job.spec.resources.times(f64::from(at_once))
    }

    /// What a job may reclaim by the tree; none: there is no tree, or its team is not in it.
    pub(super) fn ledger<'a>(&'a self, job: &Job) -> Option<Ledger<'a>> {
        let force = self.quota.hierarchy.force()?;
        let mut coming = Vec::new();
        for (id, nomination) in &self.scheduler.nominations.jobs {
            let other = self.jobs.get(id).filter(|_| *id != job.id);
            if let Some(other) = other.filter(|_| nomination.until > self.now) {
                let resources = nomination
                    .resources
                    .times(nomination.machine_ids.len() as f64);
                coming.push((other.spec.team.clone(), resources));
            }
        }
        let leaving = self.scheduler.stops.keys().filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            Some((job.spec.team.clone(), job.spec.resources))
        });
        let (team, total, task) = (&job.spec.team, self.wanted(job), job.spec.resources);
        Ledger::new(
            force,
            &self.jobs,
            team,
            total,
            task,
            coming,
            leaving.collect(),
        )
    }

    /// Where room may come together for a task that needs most of a machine. The leader tries that
    /// for a job now and then only, so that nothing is kept free for long; a holder does as asked.
    pub(super) fn gather(
        &self,
        id: &JobId,
        ledger: Ledger,
        sites: &[Site],
    ) -> Option<(MachineId, Vec<TaskId>)> {
        let job = self.jobs.get(id).filter(|_| self.several(id))?;
        let whole = self
            .autoscaler
            .type_specs
            .iter()
            .map(|type_spec| type_spec.resources);
        let large = whole.into_iter().any(|whole| {
            let part = job.spec.resources.share_of(whole);
            (LARGE..=1.0).contains(&part)
        });
        if !large {
            return None;
        }
        let rest_s = |site: &Site, stopped: &[TaskId]| {
            let mut rest: f64 = 0.0;
            for (id, index) in self.jobs.on_machine(&site.machine_id) {
                let job = self.jobs.get(id)?;
                let task = TaskId {
                    job: id.clone(),
                    index: *index,
                };
                if stopped.contains(&task) {
                    continue;
                }
                let completions = job.spec.kind != JobKind::Service && !job.whole_gang();
                let soon = completions && job.spec.estimate_s <= GATHERED.secs() * 2.0;
                soon.then_some(())?;
                rest = rest.max(job.spec.estimate_s - self.now.since(job.settled).secs());
            }
            Some(rest)
        };
        ledger.gather(job.spec.resources, sites, rest_s)
    }

    /// Whether the leader may have room gathered for a job: when nothing else has made room for a
    /// while, and not again soon.
    pub(super) fn may_gather(&mut self, id: &JobId) -> bool {
        let now = self.now;
        let known = self.quota.reclaim_not_before.get(id).copied();
        let known = known.filter(|next| now.since(*next) < FORGOTTEN);
        if known.is_none() {
            self.quota
                .reclaim_not_before
                .insert(id.clone(), now + PATIENCE);
        }
        known.is_some_and(|next| next <= now)
    }

    /// Stops what may be stopped there, and keeps room for the job as it comes free.
    pub(super) fn gather_on(
        &mut self,
        id: &JobId,
        (machine_id, victims): (MachineId, Vec<TaskId>),
    ) -> bool {
        let Some(resources) = self.jobs.get(id).map(|job| job.spec.resources) else {
            return false;
        };
        tracing::info!(job = %id, %machine_id, ?victims, "reclaiming capacity");
        let (now, pause) = (self.now, GATHERED.0 * GATHER_PAUSE);
        self.quota
            .reclaim_not_before
            .retain(|_, next| now.since(*next) < FORGOTTEN);
        self.quota
            .reclaim_not_before
            .insert(id.clone(), now + Millis(pause));
        self.scheduler
            .nominations
            .add(id, &machine_id, resources, now + GATHERED);
        match self.machines.get(&machine_id) {
            Some(machine) if !self.ours(machine) => {
                let to = machine.heard_by.clone();
                let (job, machine_id) = (id.to_string(), machine_id.to_string());
                let message = Message::MakeRoom { job, machine_id };
                self.effects.push(Effect::Peer { to, message });
            }
            _ => self.stop_victims(&machine_id, victims),
        }
        true
    }

    /// How many tasks of a job room is made for in one go.
    pub(super) fn claims(job: &Job) -> usize {
        match job.spec.kind {
            JobKind::Gang => 1,
            JobKind::Array | JobKind::Service => job.waiting().min(MOST_CLAIMS) as usize,
        }
    }

    /// Whether room may be made for several tasks of a job that are placed one by one.
    pub(super) fn several(&self, id: &JobId) -> bool {
        let gang = self.jobs.get(id).is_none_or(Job::whole_gang);
        self.quota.hierarchy.force().is_some() && !gang
    }

    /// Each team's first job that waits.
    fn find_head_of_line_jobs(&self) -> Vec<JobId> {
        let mut first: BTreeMap<&Team, (QueueKey, &JobId)> = BTreeMap::new();
        for job in self.jobs.iter() {
            let waits = job.active() && job.waiting() > 0 && !job.whole_gang();
            if !waits || !self.in_tree(&job.spec.team) {
                continue;
            }
            let its = (self.order(job), &job.id);
            let best = first.entry(&job.spec.team).or_insert(its);
            *best = its.min(*best);
        }
        first.into_values().map(|(_, id)| id.clone()).collect()
    }

    /// Room came free on a machine. Whoever holds it sees that first, and takes up work that is
    /// within its share: other controllers learn of the room seconds later, and by then work beyond
    /// its share would have it.
    pub(super) fn activate_due(&mut self, machine_id: &MachineId) {
        if self.quota.head_of_line_jobs.is_empty() {
            return;
        }
        let Some(machine) = self.machines.get(machine_id).filter(|m| self.ours(m)) else {
            return;
        };
        let mut available = self.available(machine);
        let jobs = self
            .quota
            .head_of_line_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id));
        let mut due: Vec<(QueueKey, &Job)> = jobs
            .filter(|job| job.waiting() > 0 && job.spec.resources.fits_in(available))
            .filter(|job| {
                job.spec
                    .allows(&machine.machine_type, &machine.zone, machine.spot)
            })
            .filter(|job| self.guaranteed(job))
            .map(|job| (self.order(job), job))
            .collect();
        due.sort_by_key(|(order, job)| (*order, job.id.clone()));
        let mut taken = Vec::new();
        for (order, job) in due {
            if job.spec.resources.fits_in(available) {
                available = available.minus(job.spec.resources);
                taken.push((order, job.id.clone()));
            }
        }
        for (order, id) in taken {
            self.scheduler.forwarded.insert(id.clone());
            self.scheduler.queue.activate(&id, order);
        }
    }

    /// How long room that is made for a job is kept for it.
    pub(super) fn kept_for(&self, id: &JobId, offers: &[PreemptionOffer]) -> Option<Millis> {
        let victims = offers.iter().flat_map(|offer| &offer.victims);
        let saving = victims.filter_map(|task| self.jobs.get(&task.job));
        let longest = saving.map(|job| job.spec.save_s).fold(0.0, f64::max);
        self.several(id).then(|| KEPT + Millis::from_secs(longest))
    }

    /// The leader has room made for a job's tasks in our shards: we place them there.
    pub(super) fn expect_task(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|_| self.several(id)) else {
            return;
        };
        if job.active() && job.waiting() > 0 {
            let order = self.order(job);
            self.scheduler.forwarded.insert(id.clone());
            self.scheduler.queue.expect_room(id, 0, order, self.now);
        }
    }

    /// A job was given room. With a tree, room may have been made for several of its tasks: the
    /// others keep theirs.
    pub(super) fn room_taken(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id).filter(|_| self.several(id)) else {
            return self.scheduler.nominations.remove(id);
        };
        let machine_ids: Vec<MachineId> = job
            .changes
            .values()
            .filter_map(|change| match change {
                TaskChange::Place(placement) => Some(placement.machine_id.clone()),
                _ => None,
            })
            .collect();
        for machine_id in machine_ids {
            self.scheduler.nominations.taken(id, &machine_id);
        }
    }

    /// Another controller placed tasks of a job.
    pub(super) fn placed_elsewhere(&mut self, id: &JobId, machine_ids: &[MachineId]) {
        if self.quota.hierarchy.force().is_some() {
            for machine_id in machine_ids {
                self.scheduler.nominations.taken(id, machine_id);
            }
        }
    }

    /// Whether a team is in the tree in force.
    pub(super) fn in_tree(&self, team: &Team) -> bool {
        let force = self.quota.hierarchy.force();
        force.is_some_and(|force| force.leaf(team).is_some())
    }

    /// A tree that lowers a limit below what runs: each holder stops its part of what is too much,
    /// the least valuable first. What was accepted waits until there is room for it again.
    fn drain_excess(&mut self) {
        let due = self.now.since(self.quota.excess_checked_at) >= DRAIN;
        if !due || self.quota.hierarchy.force().is_none() || !self.may_place() {
            return;
        }
        self.quota.excess_checked_at = self.now;
        for team in self.quota.hierarchy.limited() {
            let used = self.jobs.usage(&team.name);
            if !quota::within(used, &team) {
                self.drain(&team, used);
            }
        }
    }

    fn drain(&mut self, team: &TeamSettings, used: Resources) {
        let over = |most: f64, used: f64| {
            if most > 0.0 {
                (used - most).max(0.0)
            } else {
                0.0
            }
        };
        let (cpus, gpus) = (
            over(team.cpus_max, used.cpus),
            over(team.gpus_max, used.gpus),
        );
        // Shards of ours, each for its part of the excess.
        let ours: Vec<_> = self
            .jobs
            .shards_of(&team.name)
            .filter(|shard| self.membership.leases.holds(shard, &self.me).is_some())
            .cloned()
            .collect();
        for shard in ours {
            let here = self.jobs.used_in(&team.name, &shard);
            let mut excess = Resources {
                cpus: cpus * here.cpus / used.cpus.max(1e-9),
                gpus: gpus * here.gpus / used.gpus.max(1e-9),
                memory_gb: 0.0,
            };
            let mut tasks: Vec<(bool, i64, PriorityClass, f64, TaskId)> = Vec::new();
            for job in self.jobs.iter().filter(|job| job.active()) {
                if !self
                    .quota
                    .hierarchy
                    .limits(&job.spec.team)
                    .iter()
                    .any(|l| l.name == team.name)
                {
                    continue;
                }
                let here = job.placements().filter(|(_, p)| p.shard == shard);
                for index in here.map(|(index, _)| index) {
                    let task = TaskId {
                        job: job.id.clone(),
                        index,
                    };
                    if self.scheduler.stops.contains_key(&task) {
                        excess = excess.minus(job.spec.resources);
                    } else if !job.whole_gang() && !job.changes.contains_key(&index) {
                        let service = job.spec.kind == JobKind::Service;
                        let its = self.overuse_steps(&job.spec.team);
                        let waste = self.waste(job);
                        tasks.push((service, -its, job.spec.priority, waste, task));
                    }
                }
            }
            tasks.sort_by(|a, b| {
                let key = |t: &(bool, i64, PriorityClass, f64, TaskId)| (t.0, t.1, t.2);
                key(a)
                    .cmp(&key(b))
                    .then(a.3.total_cmp(&b.3))
                    .then(a.4.cmp(&b.4))
            });
            let mut machine_ids = BTreeSet::new();
            for (.., task) in tasks {
                if excess.cpus <= 1e-6 && excess.gpus <= 1e-6 {
                    break;
                }
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let Some(placement) = job.task(task.index).placement() else {
                    continue;
                };
                excess = excess.minus(job.spec.resources);
                machine_ids.insert(placement.machine_id.clone());
                let (attempt, save) = (placement.attempt, !job.spec.cheap_to_kill());
                self.scheduler.stops.insert(task, Stop { attempt, save });
            }
            if !machine_ids.is_empty() {
                tracing::info!(team = %team.name, %shard, ?machine_ids, "stopping tasks over lowered limit");
            }
            for machine_id in machine_ids {
                self.push_commands(&machine_id);
            }
        }
    }

    fn overuse_steps(&self, team: &Team) -> i64 {
        let Some(force) = self.quota.hierarchy.force() else {
            return 0;
        };
        let leaf = force.leaf(team);
        leaf.map_or(0, |leaf| {
            let used = self.jobs.standing(team).into();
            overuse_steps(force, leaf, used)
        })
    }

    /// What every placement rests on besides its shard: the tree in force.
    pub(super) fn require_tree(&self, txn: &mut Transaction) {
        txn.require(HEAD.into(), self.quota.hierarchy.version());
    }

    /// Whether a parked job may get on because another team uses less.
    pub(super) fn team_helps(&self, freed: &Team, id: &JobId) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| self.quota.hierarchy.related(freed, &job.spec.team))
    }
}

fn amounts(total: Resources, job: &Job) -> Wanted {
    Wanted {
        total: total.into(),
        task: job.spec.resources.into(),
    }
}

#[cfg(test)]
mod tests;
