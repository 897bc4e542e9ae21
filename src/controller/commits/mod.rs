//! How changes of tasks reach the state service: one transaction at a time per job, conditioned
//! on all that the decision rested on.

use crate::admission::Flows;
use crate::admission::backlog::Backlog;
use crate::admission::shared::Shared;
use crate::jobs::completion_forwarding::CompletionForwarder;
use crate::settings::Settings;
use admission_control::gate::Gate;
use std::collections::{BTreeMap, BTreeSet};

use super::store_sync::PendingRead;
use super::{CallPurpose, Controller, Effect};
use crate::admission::backlog::Lane;
use crate::jobs::cache::{Evidence, Job, TaskChange, Writing};
use crate::jobs::record::{JobRecord, encode_page, job_key, page_key};
use crate::jobs::{JobKind, Phase, PriorityClass, Task};
use crate::lease::{LEADER, shard_key};
use crate::peers::{Message, TaskDeparture};
use crate::quota;
use crate::settings::TeamSettings;
use crate::store::{CallClass, StoreResponse, Transaction};
use crate::types::{Attempt, JobId, MachineId, Millis, Resources, Revision, ShardId};

/// Pages of one transaction: with 8 KiB each they stay below 64 KiB.
const MOST_PAGES: usize = 6;

/// Transactions of jobs under way at a time. One that waited long for the budget would rest on
/// versions that others have changed since; what waits here is gathered instead, and written as
/// it stands when its turn comes.
const MOST_UNDER_WAY: usize = 3;
/// Of the changes that are allowed, so many seconds' worth are under way.
const UNDER_WAY_S: f64 = 0.1;
/// Ends are gathered for so long: changes are what the service's limit counts, and their room is
/// free meanwhile.
const GATHER: Millis = Millis(3_000);
/// The same while changes are short.
const GATHER_SHORT: Millis = Millis(45_000);
/// While changes are short, the first starts of an array wait so long for room for more of them.
const MORE_ROOM: Millis = Millis(2_500);
/// The last tasks of a job that is being taken apart are waited for so long.
const MATES: Millis = Millis(400);
/// What a job's home was told of is written here after this long, if it was not there.
const OWNER_WRITE_TIMEOUT: Millis = Millis(12_000);
/// Urgent work goes before other work that has waited up to so long.
const URGENT_FIRST: Millis = Millis(2_000);
/// A team that uses this part of its limit waits for every end.
const NEAR_LIMIT: f64 = 0.8;

/// Task changes on their way to the store, and the admission that divides its write limit.
pub(super) struct Commits {
    /// Jobs with changes that the cycles of this event noted.
    pub(super) noted_jobs: Vec<JobId>,
    pub(super) completions: CompletionForwarder,
    pub(super) flows: Flows,
    pub(super) admission: Shared,
    pub(super) gate: Gate,
    pub(super) backlog: Backlog,
    /// Until then writes count as short: cycles were stopped for want of them.
    pub(super) writes_short_until: Millis,
    /// Pages of finished jobs are being deleted.
    pub(super) deleting_pages: bool,
}

impl Commits {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            noted_jobs: Vec::new(),
            completions: CompletionForwarder::default(),
            flows: Flows::new(settings),
            admission: Shared::default(),
            gate: Gate::default(),
            backlog: Backlog::default(),
            writes_short_until: Millis(0),
            deleting_pages: false,
        }
    }
}

impl Controller {
    /// Has a job's noted changes written when it is their turn.
    pub(super) fn commit(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.writing != Writing::Idle
            || job.changes.is_empty()
            || self.commits.completions.waits(job, self.now)
        {
            return;
        }
        let completions = job.changes.values().all(TaskChange::finishes);
        let all = job.done as usize + job.changes.len() >= job.record.tasks as usize;
        let near = |team: &TeamSettings| {
            let used = self.jobs.usage(&team.name).times(1.0 / NEAR_LIMIT);
            !quota::within(used, team)
        };
        let (now, urgent) = (self.now, Millis(self.now.0.saturating_sub(URGENT_FIRST.0)));
        // While changes are short, waiting for company costs less than a change.
        let short = self.short();
        let gather = if short { GATHER_SHORT } else { GATHER };
        // Room that a task has left may be what a gang waits for on another's word.
        let starts = job
            .changes
            .values()
            .all(|c| matches!(c, TaskChange::Place(_)));
        let part = job.spec.kind == JobKind::Array && job.waiting() > 0 && starts;
        // Other holders are about to say that their tasks of it have left too.
        let more = job.placed as usize > job.changes.len();
        let (lane, turn) = if !job.active() {
            // Somebody waits to hear that a cancelled job's tasks are gone.
            (
                Lane::CompletionForwarder,
                if more { now + MATES } else { urgent },
            )
        } else if completions && (all || job.whole_gang()) {
            (Lane::CompletionForwarder, now)
        } else if completions && self.limits(job).iter().any(near) {
            (Lane::Gathered, if short { now + GATHER } else { now })
        } else if completions {
            (Lane::Gathered, now + gather)
        } else if more && job.broken_gang() {
            (Lane::Places, now + MATES)
        } else if job.whole_gang() && job.placed == 0 {
            // Its room is on machines of several holders, who may take it meanwhile.
            (Lane::CompletionForwarder, urgent)
        } else if job.spec.priority >= PriorityClass::Urgent {
            (Lane::Places, urgent)
        } else if short && part {
            (Lane::Places, now + MORE_ROOM)
        } else {
            (Lane::Places, now)
        };
        let class = self.commits.flows.of(&job.spec).class;
        let turn = if self.forwarded_to_owner(id) {
            turn + OWNER_WRITE_TIMEOUT
        } else {
            turn
        };
        self.commits.backlog.add(id, lane, class, turn);
        self.write_next();
    }

    /// Tells a job's home what left its machines here, if that can write it for all holders.
    fn forwarded_to_owner(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let owner = &job.record.owner;
        let there = self.membership.leases.controllers.contains_key(owner)
            && self.recent_status(owner).is_some();
        if *owner == self.me || !there {
            return false;
        }
        let token = |index| {
            let shard = &job.task(index).placement()?.shard;
            self.membership.leases.holds(shard, &self.me)
        };
        self.commits.completions.tell(owner, job, token, self.now)
    }

    /// Sends the homes what there is to tell, and sees to what they have not written yet.
    pub(super) fn forward_completions(&mut self) {
        let jobs = &self.jobs;
        let waits = |id: &JobId| {
            jobs.get(id)
                .is_some_and(|job| job.writing == Writing::Idle && !job.changes.is_empty())
        };
        let mut due = self.commits.completions.pending(waits);
        due.extend(self.commits.completions.due(self.now));
        for id in due {
            self.commit(&id);
        }
        for (to, left) in self.commits.completions.take() {
            let message = Message::TasksDeparted(left);
            self.effects.push(Effect::Peer { to, message });
        }
    }

    /// Tasks of jobs of ours have left machines of other holders. Whether that still holds is
    /// checked once more when it is written.
    pub(super) fn on_completions(&mut self, left: Vec<TaskDeparture>) {
        let mut changes = Vec::new();
        for left in left {
            let id = JobId::from(left.job.as_str());
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if left.index >= job.record.tasks || job.changes.contains_key(&left.index) {
                continue;
            }
            let Task::Placed(placement) = job.task(left.index) else {
                continue;
            };
            let token = self
                .membership
                .leases
                .shards
                .get(&placement.shard)
                .map(|(_, t)| t.0);
            if placement.attempt.0 == left.attempt && token == Some(left.token) {
                changes.push((id, left.index, left.change()));
            }
        }
        self.note_changes(changes);
    }

    /// Forgets noted changes of tasks that another has written meanwhile.
    pub(super) fn drop_overtaken(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.writing != Writing::Idle {
            return;
        }
        let over = |index: &u32, attempt: &Attempt| {
            let placement = job.task(*index).placement();
            placement.is_none_or(|p| p.attempt != *attempt)
        };
        let stale: Vec<u32> = job
            .changes
            .iter()
            .filter(|(index, change)| match change {
                TaskChange::Place(_) => false,
                TaskChange::Finish { attempt } | TaskChange::Release { attempt, .. } => {
                    over(index, attempt)
                }
            })
            .map(|(index, _)| *index)
            .collect();
        self.jobs.discard(id, &stale);
    }

    pub(super) fn write_next(&mut self) {
        // What waits in the budget's queue rests on versions that grow old.
        let most = (self.commits.admission.allowed * UNDER_WAY_S).ceil() as usize;
        while self.commits.backlog.under_way < most.clamp(1, MOST_UNDER_WAY)
            && let Some(id) = self.commits.backlog.next(self.now)
        {
            self.write(&id);
        }
    }

    /// Writes a job's noted changes, if none are on their way.
    fn write(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.writing != Writing::Idle || job.changes.is_empty() {
            return;
        }
        let ops = self.settings.deployment.state.txn_ops;
        let mut txn = Transaction::default();
        txn.require(job_key(id), job.version);
        let mut pages: BTreeMap<u32, Vec<Task>> = BTreeMap::new();
        let mut changes = Vec::new();
        let mut stale = Vec::new();
        let (mut placing, mut unplaced, mut borrowed) = (false, false, false);
        // Zones of a job in many pages are agreed on through its first page.
        let tied = (job.spec.one_zone || job.spec.spread) && job.record.pages() > 1;
        for (index, change) in &job.changes {
            let page = index / job.record.page;
            if !pages.contains_key(&page) && pages.len() >= MOST_PAGES.min(ops.saturating_sub(4)) {
                break;
            }
            // No higher token may exist when this is written. The leader places in shards of
            // others too: whoever holds the shard then starts the task.
            let held = |shard| self.membership.leases.holds(shard, &self.me);
            let known = |shard| {
                self.membership
                    .leases
                    .shards
                    .get(shard)
                    .map(|(_, token)| *token)
            };
            let leads = self.leading().is_some();
            let next = match (change, job.task(*index)) {
                (TaskChange::Place(placement), Task::Waiting { tried })
                    if job.active() && *tried < placement.attempt =>
                {
                    // Somebody else may have placed a task there since this one was reserved.
                    let machine = self.machines.get(&placement.machine_id).filter(|machine| {
                        machine.agent_epoch == placement.agent_epoch
                            && Resources::default().fits_in(self.available(machine))
                    });
                    let token = held(&placement.shard);
                    let token = token.or_else(|| known(&placement.shard).filter(|_| leads));
                    let token = token.filter(|_| machine.is_some());
                    let next = Task::Placed(placement.clone());
                    token.map(|token| (next, Some((&placement.shard, token))))
                }
                (TaskChange::Release { attempt, evidence }, Task::Placed(placement))
                    if placement.attempt == *attempt =>
                {
                    let tried = placement.attempt;
                    let under = match evidence {
                        Evidence::Deleted => Some(None),
                        Evidence::Holder(token) if known(&placement.shard) == Some(*token) => {
                            Some(Some((&placement.shard, *token)))
                        }
                        Evidence::Holder(_) => None,
                    };
                    under.map(|under| (Task::Waiting { tried }, under))
                }
                (TaskChange::Finish { attempt }, Task::Placed(placement))
                    if placement.attempt == *attempt =>
                {
                    known(&placement.shard)
                        .map(|token| (Task::Done, Some((&placement.shard, token))))
                }
                _ => None,
            };
            let places = matches!(change, TaskChange::Place(_));
            let Some((next, under)) = next else {
                stale.push(*index);
                unplaced |= places;
                continue;
            };
            if let Some((shard, token)) = under {
                txn.require(shard_key(shard), Revision(token.0));
                borrowed |= places && self.membership.leases.holds(shard, &self.me).is_none();
            }
            placing |= places;
            let tasks = pages.entry(page).or_insert_with(|| job.page_tasks(page));
            if let Some(slot) = tasks.get_mut((index % job.record.page) as usize) {
                *slot = next;
            }
            changes.push((*index, change.clone()));
        }
        // The tasks of a gang complete together: one that is done shows that all of its attempt are,
        // also those that left their machines unseen.
        let finished = changes.iter().find_map(|(_, change)| match change {
            TaskChange::Finish { attempt } => Some(*attempt),
            _ => None,
        });
        if let Some(finished) = finished.filter(|_| job.whole_gang() && job.active())
            && job.record.pages() as usize <= MOST_PAGES
        {
            for page in 0..job.record.pages() {
                let tasks = pages.entry(page).or_insert_with(|| job.page_tasks(page));
                for (index, task) in (page * job.record.page..).zip(tasks) {
                    let attempt = match task {
                        Task::Placed(placement) => placement.attempt,
                        Task::Waiting { tried } => *tried,
                        Task::Done => continue,
                    };
                    if attempt == finished {
                        *task = Task::Done;
                        changes.retain(|(other, _)| *other != index);
                        changes.push((index, TaskChange::Finish { attempt }));
                    }
                }
            }
        }
        if placing && tied && !pages.contains_key(&0) {
            pages.insert(0, job.page_tasks(0));
        }
        let mut shards: Vec<(ShardId, u32)> = Vec::new();
        for (_, change) in &changes {
            if let TaskChange::Place(placement) = change {
                match shards.iter_mut().find(|(b, _)| *b == placement.shard) {
                    Some((_, tasks)) => *tasks += 1,
                    None => shards.push((placement.shard.clone(), 1)),
                }
            }
        }
        // Others may have placed tasks of the job since these were reserved. A gang is placed as a
        // whole, and nothing beyond the shares of its team's limit.
        let whole = !(unplaced && job.whole_gang());
        if !whole || placing && !job.zones_allowed() || !self.require_shares(job, &mut txn, &shards)
        {
            return self.settle(id);
        }
        if placing {
            self.require_tree(&mut txn);
        }
        if let Some(lead) = self.leading().filter(|_| borrowed) {
            // In shards of others a leader places on what it knows of all: carried out after its term,
            // it would add to what its successor has dealt out meanwhile.
            txn.require(LEADER.into(), lead);
        }
        for page in pages.keys() {
            txn.require(page_key(id, *page), job.page_version(*page));
        }
        let finished = changes.iter().filter(|(_, c)| c.finishes()).count() as u32;
        let complete = job.active() && job.done + finished == job.record.tasks;
        // With the last task of a job that is over goes what is left of the job: its record needs
        // no spec any more, and its pages are dropped when there is time.
        let cleared =
            !job.active() && job.placed as usize == changes.len() && self.knows_all_of(job);
        if complete || cleared {
            let record = JobRecord {
                phase: if complete {
                    Phase::Done
                } else {
                    Phase::Aborted
                },
                spec: None,
                ..job.record.clone()
            };
            txn.put(job_key(id), &record);
            pages.clear();
        }
        for (page, tasks) in pages {
            txn.put_text(page_key(id, page), encode_page(&tasks), None);
        }
        self.jobs.discard(id, &stale);
        if changes.is_empty() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::InFlight;
        }
        let job = id.clone();
        self.commits.backlog.under_way += 1;
        self.transact(CallClass::Jobs, txn, CallPurpose::Changes { job, changes });
    }

    pub(super) fn on_changes(
        &mut self,
        id: JobId,
        changes: Vec<(u32, TaskChange)>,
        answer: StoreResponse,
    ) {
        self.commits.backlog.under_way -= 1;
        let indices: Vec<u32> = changes.iter().map(|(index, _)| *index).collect();
        match answer {
            StoreResponse::Committed(_) => {
                for (index, change) in &changes {
                    tracing::debug!(job = %id, index, ?change, "transaction committed");
                }
                self.jobs.discard(&id, &indices);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Idle;
                }
                self.commit(&id);
                self.consider(&id);
                let machine_ids: BTreeSet<MachineId> = changes
                    .into_iter()
                    .filter_map(|(_, change)| match change {
                        TaskChange::Place(placement) => Some(placement.machine_id),
                        _ => None,
                    })
                    .collect();
                for machine_id in machine_ids {
                    self.push_commands(&machine_id);
                }
            }
            StoreResponse::Conflict(revision) => {
                tracing::debug!(job = %id, "transaction conflict");
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Settling(Some(revision));
                }
                self.settle_at(id, revision);
            }
            StoreResponse::Unknown => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Settling(None);
                }
                if self.fence_off_later(&id, &changes) {
                    return;
                }
                self.once_fresh(PendingRead::Settle { job: id });
            }
            _ => self.settle(&id),
        }
        self.write_next();
    }

    /// A transaction that did not plainly succeed is over, and the cache shows what came of it.
    /// All noted changes are dropped: the next reports and cycles bring back what still holds.
    pub(super) fn settle(&mut self, id: &JobId) {
        // Of tasks that left their machines, the last reports still hold: replicas on two holders'
        // machines end at once, and one of the two had to wait for its machine's next heartbeat.
        let ended = self.jobs.get(id).map(|job| {
            let left = job
                .changes
                .iter()
                .filter(|(_, c)| !matches!(c, TaskChange::Place(_)));
            let machine_ids = left
                .filter_map(|(index, _)| Some(job.task(*index).placement()?.machine_id.clone()));
            machine_ids.collect::<BTreeSet<MachineId>>()
        });
        // What is done stays done, and other holders say it only once.
        let done: Vec<(u32, TaskChange)> = self
            .jobs
            .get(id)
            .map(|job| {
                let done = job.changes.iter().filter(|(_, c)| c.finishes());
                done.map(|(index, c)| (*index, c.clone())).collect()
            })
            .unwrap_or_default();
        self.jobs.discard_changes(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::Idle;
            self.fail_later(id);
        }
        for machine_id in ended.unwrap_or_default() {
            self.look_again(&machine_id);
        }
        for (index, change) in done {
            let noted = |job: &Job| job.changes.contains_key(&index);
            if self.jobs.get(id).is_some_and(|job| !noted(job)) {
                self.jobs.want(id, index, change);
            }
        }
        self.drop_overtaken(id);
        self.commit(id);
    }

    /// Forgets the description of a job that is over once no task of it is anywhere.
    pub(super) fn clear(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.active() || job.placed > 0 || job.writing != Writing::Idle {
            return;
        }
        if !self.knows_all_of(job) {
            let (version, job) = (job.version, id.clone());
            return self.once_applied(version, self.now, PendingRead::Clear { job });
        }
        // A user waits for it.
        let class = match job.record.phase {
            Phase::Aborting => CallClass::Cancellations,
            _ => CallClass::Rest,
        };
        let mut txn = Transaction::default();
        txn.require(job_key(id), job.version);
        let record = JobRecord {
            phase: Phase::Aborted,
            spec: None,
            ..job.record.clone()
        };
        txn.put(job_key(id), &record);
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::InFlight;
        }
        self.transact(class, txn, CallPurpose::Clear { job: id.clone() });
    }

    /// Whether the cache shows all that was placed of a job before it was cancelled: nothing can be
    /// any more. A placement that is not known yet would be on its machine when the user hears
    /// that the job is over.
    fn knows_all_of(&self, job: &Job) -> bool {
        self.store_sync.applied >= job.version
    }

    /// The leader drops pages of jobs that are over while there is nothing else to write. No
    /// transaction can bring them back: all rest on the version of the job's record.
    pub(super) fn delete_finished_pages(&mut self) {
        if !self.commits.backlog.is_empty() || self.commits.deleting_pages || !self.may_place() {
            return;
        }
        let ops = self.settings.deployment.state.txn_ops;
        // Everyone sees the pages; one drops them.
        let Some(lead) = self.leading() else { return };
        let mut txn = Transaction::default();
        txn.require(LEADER.into(), lead);
        for (id, page) in self.jobs.leftovers().take(ops) {
            txn.drop_key(page_key(id, *page));
        }
        if txn.changes.is_empty() {
            return;
        }
        self.commits.deleting_pages = true;
        self.transact(CallClass::Rest, txn, CallPurpose::Dropped);
    }

    pub(super) fn on_cleared(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.writing = Writing::Idle;
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
