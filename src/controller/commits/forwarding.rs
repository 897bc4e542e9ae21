//! Departures of tasks that the job's owner writes for all holders.
//!
//! The holder of a shard observes that a task has left its machine; the owner of the job writes the
//! departures that all holders observed in one transaction. Both controllers check a departure
//! against the records.

use super::Controller;
use crate::controller::Effect;
use crate::jobs::Task;
use crate::jobs::cache::{CommitState, TaskChange};
use crate::peers::{Message, TaskDeparture};
use crate::types::{Attempt, FencingToken, JobId};

impl Controller {
    /// Forwards a job's pending changes to its owner, if the owner can be reached and may write all
    /// of them. Returns whether they were forwarded.
    pub(super) fn forward_to_owner(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let owner = &job.record.owner;
        let reachable = self.membership.leases.controllers.contains_key(owner)
            && self.recent_status(owner).is_some();
        if *owner == self.me || !reachable {
            return false;
        }
        let held_token = |index| {
            let shard = &job.task(index).placement()?.shard;
            self.membership.leases.held_token(shard, &self.me)
        };
        self.commits
            .completions
            .forward(owner, job, held_token, self.now)
    }

    /// Sends the departures that wait for their owners, and schedules commits of those that an
    /// owner has not written yet.
    pub(in crate::controller) fn forward_completions(&mut self) {
        let jobs = &self.jobs;
        let unwritten = |id: &JobId| {
            jobs.get(id).is_some_and(|job| {
                job.commit_state == CommitState::Idle && !job.pending_changes.is_empty()
            })
        };
        let mut due = self.commits.completions.retain_unwritten(unwritten);
        due.extend(self.commits.completions.due_scans(self.now));
        for id in due {
            self.commit(&id);
        }
        for (to, departures) in self.commits.completions.take_outbox() {
            let message = Message::TasksDeparted(departures);
            self.effects.push(Effect::Peer { to, message });
        }
    }

    /// Adds departures that other holders forwarded as pending changes. They are checked again when
    /// they are written.
    pub(in crate::controller) fn on_tasks_departed(&mut self, departures: Vec<TaskDeparture>) {
        let mut changes = Vec::new();
        for departure in departures {
            let id = JobId::from(departure.job.as_str());
            if self.matches_records(&id, &departure) {
                changes.push((id, departure.index, departure.change()));
            }
        }
        self.request_changes(changes);
    }

    /// Whether the records still show the task on the machine that it left, under a token of
    /// the holder that reported the departure, and no change of the task is pending.
    fn matches_records(&self, id: &JobId, departure: &TaskDeparture) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if departure.index >= job.record.tasks || job.pending_changes.contains_key(&departure.index)
        {
            return false;
        }
        let Task::Placed(placement) = job.task(departure.index) else {
            return false;
        };
        placement.attempt == Attempt(departure.attempt)
            && self
                .known_tenure(&placement.shard)
                .is_some_and(|tenure| tenure.covers(FencingToken(departure.token)))
    }

    /// Discards pending departures of tasks that another controller has written in the meantime.
    pub(in crate::controller) fn discard_superseded_departures(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.commit_state != CommitState::Idle {
            return;
        }
        let is_superseded = |index: u32, attempt: Attempt| {
            let placement = job.task(index).placement();
            placement.is_none_or(|placement| placement.attempt != attempt)
        };
        let stale: Vec<u32> = job
            .pending_changes
            .iter()
            .filter(|(index, change)| match change {
                TaskChange::Place(_) => false,
                TaskChange::Finish { attempt } | TaskChange::Release { attempt, .. } => {
                    is_superseded(**index, *attempt)
                }
            })
            .map(|(index, _)| *index)
            .collect();
        self.jobs.discard_changes(id, &stale);
    }
}
