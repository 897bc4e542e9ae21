//! The scheduling loop: takes jobs from the queue and runs one cycle for each, which places the
//! next task, or a whole gang, on machines of this controller's shards.
//!
//! - `cycle`: one cycle, from the checks before it to what follows a placement;
//! - `single_task`: machines for tasks that are placed one by one;
//! - `gang`: machines for all tasks of a gang together;
//! - `unplaced`: what follows if no machine is suitable (preemption, forwarding, parking).
//!
//! Placements become pending changes in the job cache; `commits` writes them.

mod cycle;
mod gang;
mod single_task;
mod unplaced;

use super::Controller;
use crate::admission::backlog::Lane;
use crate::jobs::PriorityClass;
use crate::jobs::cache::Job;
use crate::queue::{PoppedJob, QueueRank};
use crate::types::{Attempt, JobId, Millis};

/// Maximum number of cycles in one run of the loop. The queue may be long, and other events wait
/// until the run ends.
const MAX_CYCLES_PER_RUN: usize = 64;
/// Maximum backlog of placements that wait for their write, in seconds of this controller's share
/// of the store's write limit. Decisions that cannot be written sooner are better made later: more
/// is known by then, and more important work goes first.
const MAX_WRITE_QUEUE_S: f64 = 0.5;
/// Number of placements that may always wait, so that a low write limit does not stop the loop.
const MIN_PENDING_PLACEMENTS: f64 = 4.0;
/// Writes are treated as scarce for this long after they stopped the loop, so that the mode does
/// not change with each write.
const WRITE_SCARCITY_DURATION: Millis = Millis(1_000);
/// Best-effort jobs avoid empty machines for this long after this controller first saw them; after
/// that they must be able to start.
const MAX_EMPTY_MACHINE_AVOIDANCE: Millis = Millis(30_000);

/// One attempt to place one task of a job.
#[derive(Clone, Copy, Debug)]
struct TaskAttempt {
    index: u32,
    attempt: Attempt,
}

impl TaskAttempt {
    /// The attempt that follows `last_attempt` for the task.
    fn after(index: u32, last_attempt: Attempt) -> Self {
        Self {
            index,
            attempt: Attempt(last_attempt.0 + 1),
        }
    }
}

/// The number of cycles that remain in a run of the loop.
struct CycleBudget(usize);

impl CycleBudget {
    /// Uses one cycle; false if none remains.
    fn take(&mut self) -> bool {
        let left = self.0.checked_sub(1);
        self.0 = left.unwrap_or(0);
        left.is_some()
    }
}

impl Controller {
    /// Whether a job must not use empty machines for now. Best-effort work on them delays urgent
    /// jobs, which have to wait until it has saved its checkpoint. A best-effort job gets an empty
    /// machine only while there are more than urgent work needs, or when the job has waited too
    /// long to start.
    pub(super) fn avoids_empty_machines(&self, job: &Job) -> bool {
        job.spec.priority == PriorityClass::BestEffort
            && !self.scheduler.candidates.spare_empty_machines
            && (job.placed > 0 || self.now.since(job.first_seen) < MAX_EMPTY_MACHINE_AVOIDANCE)
    }

    /// Runs cycles until no job is active, or the loop has to stop for another reason.
    pub(super) fn schedule(&mut self) {
        if !self.may_place() || self.autoscaler.type_specs.is_empty() {
            return;
        }
        let mut budget = CycleBudget(MAX_CYCLES_PER_RUN);
        self.place_queued_jobs(&mut budget);
        self.extend_pending_placements(&mut budget);
        self.commit_placed_jobs();
    }

    /// Whether writes to the store are scarce: they stopped the loop recently.
    pub(super) fn writes_are_scarce(&self) -> bool {
        self.now < self.commits.writes_scarce_until
    }

    /// Runs cycles for the jobs at the head of the queue, as long as their placements can be
    /// written soon.
    fn place_queued_jobs(&mut self, budget: &mut CycleBudget) {
        let max_pending = self.max_pending_placements();
        while budget.take() {
            if self.pending_placements() >= max_pending {
                if self.scheduler.queue.first_key().is_some() {
                    self.commits.writes_scarce_until = self.now + WRITE_SCARCITY_DURATION;
                }
                return;
            }
            // Resources are shared by priority, but while writes are scarce, writes are shared by
            // floors.
            let by_floors = self.writes_are_scarce();
            let popped = if by_floors {
                self.scheduler.queue.pop_by_floors()
            } else {
                self.scheduler.queue.pop()
            };
            let Some(popped) = popped else { return };
            // Another task of the job that was placed last is part of the same write.
            let needs_write = self.commits.changed_jobs.last() != Some(&popped.id);
            let placed = self.run_cycle(&popped);
            if by_floors && needs_write && placed {
                self.charge_floors(&popped);
            }
        }
    }

    /// How many placements may wait for their write before the loop stops.
    fn max_pending_placements(&self) -> usize {
        let limit_per_s = self.settings.deployment.state.write_rps;
        let controllers = self.settings.controllers() as f64;
        let writes = (limit_per_s / controllers * MAX_WRITE_QUEUE_S).ceil();
        writes.max(MIN_PENDING_PLACEMENTS) as usize
    }

    /// How many placements wait for their write.
    fn pending_placements(&self) -> usize {
        self.commits.backlog.overdue_in(Lane::Placements, self.now)
            + self.commits.changed_jobs.len()
    }

    /// Counts a cycle against the floors of the job's class and team.
    fn charge_floors(&mut self, popped: &PoppedJob) {
        if let Some(job) = self.jobs.get(&popped.id) {
            let flow = self.commits.flows.of(&job.spec);
            self.scheduler.queue.record_served(flow);
        }
    }

    /// Places more tasks of the jobs that wait for a write, since they become part of the same
    /// write. They also take resources, so a job that ranks below the first active one is left out.
    fn extend_pending_placements(&mut self, budget: &mut CycleBudget) {
        let first_rank = self.scheduler.queue.first_key().map(|key| key.rank());
        for id in self.commits.backlog.jobs_in_placements_lane() {
            if self.rank(&id) > first_rank {
                continue;
            }
            while budget.take()
                && let Some(popped) = self.scheduler.queue.pop_job(&id)
            {
                self.run_cycle(&popped);
            }
        }
    }

    /// A job's rank in the queue.
    fn rank(&self, id: &JobId) -> Option<QueueRank> {
        self.jobs.get(id).map(|job| self.queue_key(job).rank())
    }

    /// Passes the placements of this run to the commits. Tasks of one job are committed together.
    fn commit_placed_jobs(&mut self) {
        for id in std::mem::take(&mut self.commits.changed_jobs) {
            self.commit(&id);
        }
    }
}

#[cfg(test)]
mod tests;
