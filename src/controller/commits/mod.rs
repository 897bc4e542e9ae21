//! Commits of task changes: one transaction per job at a time, conditioned on every record that the
//! decision depends on.
//!
//! Heartbeats and scheduling cycles add pending changes to a job in the cache. [`commit_schedule`]
//! decides in which lane and when a job's changes are due, the backlog divides the write limit among
//! due jobs, [`planned_write`] checks the changes against the current records, this module sends the
//! transaction, and [`outcome`] handles its result. [`forwarding`] sends changes to the controller
//! that owns the job, and [`cleanup`] deletes what a finished job no longer needs.
//!
//! State: [`Commits`], and for each [`Job`] in the cache its pending changes and whether a
//! transaction with them is in flight.

mod cleanup;
mod commit_schedule;
mod forwarding;
mod outcome;
mod planned_write;

use std::collections::BTreeMap;

use admission_control::gate::Gate;

use super::{CallPurpose, Controller};
use crate::admission::Flows;
use crate::admission::backlog::Backlog;
use crate::admission::shared::WriteAdmission;
use crate::jobs::Task;
use crate::jobs::cache::{CommitState, Job};
use crate::jobs::completion_forwarding::CompletionForwarder;
use crate::jobs::record::{encode_page, job_key, page_key};
use crate::lease::{LEADER_KEY, shard_key};
use crate::quota;
use crate::settings::{Settings, TeamSettings};
use crate::store::{CallClass, Transaction, WriteGate};
use crate::types::{JobId, Millis, Revision};
use commit_schedule::{CommitSchedule, WritePressure};
use planned_write::PlannedWrite;

/// Maximum number of job transactions in flight. A transaction that waited long for the write
/// budget would be conditioned on versions that other controllers have changed since. Changes that
/// wait in the backlog are combined instead, and checked again just before they are written.
const MAX_IN_FLIGHT: usize = 3;
/// Seconds' worth of the allowed write rate that may be in flight.
const IN_FLIGHT_S: f64 = 0.1;
/// Time the owner of a job has to write the completions that were forwarded to it; after that this
/// controller writes them itself.
const OWNER_WRITE_TIMEOUT: Millis = Millis(12_000);
/// Fraction of a team's limit above which its queued jobs may be waiting for each single
/// completion.
const NEAR_LIMIT_FRACTION: f64 = 0.8;

/// Task changes on their way to the store, and the admission that divides its write limit.
pub(super) struct Commits {
    /// Jobs to which scheduling cycles added pending changes during this event.
    pub(super) changed_jobs: Vec<JobId>,
    /// Departures of tasks that other controllers are asked to write.
    pub(super) completions: CompletionForwarder,
    /// The classes and teams that have floors, which are guaranteed minimum shares of the writes.
    pub(super) flows: Flows,
    /// This controller's share of the write limit, and the plan that divides the limit.
    pub(super) admission: WriteAdmission,
    /// Decides whether a submission is accepted now.
    pub(super) gate: Gate,
    /// Jobs whose pending changes wait to be written.
    pub(super) backlog: Backlog,
    /// Writes count as scarce until this time: scheduling cycles were stopped because placements
    /// could not be written soon.
    pub(super) writes_scarce_until: Millis,
    /// When pages of finished jobs may be deleted again.
    pub(super) page_deletion: WriteGate,
}

impl Commits {
    /// Starts without pending changes or transactions in flight; no write is allowed before the
    /// first plan.
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            changed_jobs: Vec::new(),
            completions: CompletionForwarder::default(),
            flows: Flows::new(settings),
            admission: WriteAdmission::default(),
            gate: Gate::default(),
            backlog: Backlog::default(),
            writes_scarce_until: Millis(0),
            page_deletion: WriteGate::default(),
        }
    }

    /// How many job transactions may be in flight. Transactions in the queue of the write budget
    /// are conditioned on versions that become outdated, so only a fraction of a second's worth is
    /// sent ahead.
    fn in_flight_limit(&self) -> usize {
        let limit = (self.admission.allowed_rate * IN_FLIGHT_S).ceil() as usize;
        limit.clamp(1, MAX_IN_FLIGHT)
    }
}

impl Controller {
    /// Puts a job with pending changes into the backlog, and writes all changes that are due.
    pub(super) fn commit(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.commit_state != CommitState::Idle
            || job.pending_changes.is_empty()
            || self.commits.completions.defers_scan(job, self.now)
        {
            return;
        }
        let pressure = if self.writes_are_scarce() {
            WritePressure::Scarce
        } else {
            WritePressure::Normal
        };
        let near_limit = || self.limits(job).iter().any(|team| self.near_limit(team));
        let CommitSchedule { lane, due } =
            commit_schedule::choose(job, pressure, near_limit, self.now);
        let class = self.commits.flows.of(&job.spec).class;
        let due = if self.forward_to_owner(id) {
            due + OWNER_WRITE_TIMEOUT
        } else {
            due
        };
        self.commits.backlog.add(id, lane, class, due);
        self.write_next();
    }

    /// Whether a team uses more than [`NEAR_LIMIT_FRACTION`] of its limit.
    fn near_limit(&self, team: &TeamSettings) -> bool {
        let used = self.jobs.usage(&team.name).times(1.0 / NEAR_LIMIT_FRACTION);
        !quota::within_limit(used, team)
    }

    /// Writes the changes of jobs that are due, as far as the in-flight limit allows.
    pub(in crate::controller) fn write_next(&mut self) {
        let limit = self.commits.in_flight_limit();
        while self.commits.backlog.in_flight < limit
            && let Some(id) = self.commits.backlog.next(self.now)
        {
            self.write(&id);
        }
    }

    /// Writes a job's pending changes, unless a transaction of the job is in flight.
    fn write(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.commit_state != CommitState::Idle || job.pending_changes.is_empty() {
            return;
        }
        let completion = self.plan_gang_completion(job);
        let mut planned = completion.unwrap_or_else(|| self.plan_write(job));
        planned.require_zone_page(job);
        let Some(mut txn) = self.write_conditions(job, &planned) else {
            return self.restart_from_records(id);
        };
        self.add_records(job, &planned, &mut txn);
        let PlannedWrite { changes, stale, .. } = planned;
        self.jobs.discard_changes(id, &stale);
        if changes.is_empty() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.commit_state = CommitState::InFlight;
        }
        let job = id.clone();
        self.commits.backlog.in_flight += 1;
        self.transact(
            CallClass::Jobs,
            txn,
            CallPurpose::TaskChanges { job, changes },
        );
    }

    /// The transaction with all conditions of the planned changes, and no records yet. `None` if
    /// the current records rule out the planned placements: other controllers may have placed tasks
    /// of the job since these placements were reserved.
    fn write_conditions(&self, job: &Job, planned: &PlannedWrite) -> Option<Transaction> {
        let mut txn = Transaction::default();
        txn.require(job_key(&job.id), job.version);
        for (shard, token) in &planned.shard_tokens {
            txn.require(shard_key(shard), Revision(token.0));
        }
        let placements = &planned.placements;
        // A gang is placed as a whole or not at all.
        if placements.stale > 0 && job.is_multi_task_gang()
            || placements.planned > 0 && !job.satisfies_zone_constraints()
            || !self.require_allocations(job, &mut txn, &planned.placements_by_shard())
        {
            return None;
        }
        if placements.planned > 0 {
            self.require_tree(&mut txn);
        }
        // A leader places tasks in shards of other holders by its own view of all shards. If such a
        // placement were committed after its term, it would add to what the next leader has
        // allocated in the meantime.
        if let Some(leader_revision) = self.leading().filter(|_| placements.in_other_shards > 0) {
            txn.require(LEADER_KEY.into(), leader_revision);
        }
        for page in planned.pages.keys() {
            txn.require(page_key(&job.id, *page), job.page_version(*page));
        }
        Some(txn)
    }

    /// Adds the records that result from the planned changes: the job's final record if no task of
    /// it remains, else the pages.
    fn add_records(&self, job: &Job, planned: &PlannedWrite, txn: &mut Transaction) {
        if let Some(phase) = planned.final_phase(job, self.all_placements_known(job)) {
            // The final record needs no spec, and the pages are deleted later.
            txn.put(job_key(&job.id), &job.record.finished(phase));
            return;
        }
        let pages: &BTreeMap<u32, Vec<Task>> = &planned.pages;
        for (page, tasks) in pages {
            txn.put_json(page_key(&job.id, *page), encode_page(tasks), None);
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
