//! The scheduling loop: takes jobs from the queue and runs one cycle for each, which places the
//! next task, or a whole gang, on machines of this controller's shards.
//!
//! - `cycle`: one cycle, from the checks before it to what follows a placement;
//! - `single_task`: machines for tasks that are placed one by one;
//! - `gang`: machines for all tasks of a gang at once;
//! - `unplaced`: what follows if no machine will do (preemption, forwarding, parking).
//!
//! Placements are noted in the job cache; `commits` writes them.

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

/// Cycles of one run of the loop. The queue may be long, and other events have to wait meanwhile.
const MAX_CYCLES_PER_RUN: usize = 64;
/// Placements may wait for this many seconds of our part of the store's write limit. What cannot
/// be written sooner is better decided later: by then more is known, and more important work goes
/// first.
const MAX_WRITE_QUEUE_S: f64 = 0.5;
/// Placements that may wait at any rate, so that a low write limit does not stop the loop.
const MIN_PENDING_PLACEMENTS: f64 = 4.0;
/// Writes count as short for this long after they stopped the loop, so that the mode does not
/// change with each write.
const WRITE_SHORTAGE_HOLD: Millis = Millis(1_000);
/// Best-effort jobs avoid empty machines for this long after their submission: then they have to
/// start.
const MAX_EMPTY_MACHINE_AVOIDANCE: Millis = Millis(30_000);

/// One try to place one task of a job.
#[derive(Clone, Copy, Debug)]
struct TaskAttempt {
    index: u32,
    attempt: Attempt,
}

impl TaskAttempt {
    /// The try that follows the attempts which were made of a task.
    fn after(index: u32, tried: Attempt) -> Self {
        Self {
            index,
            attempt: Attempt(tried.0 + 1),
        }
    }
}

/// The cycles that are left in a run of the loop.
struct CycleBudget(usize);

impl CycleBudget {
    /// Takes one cycle; false if none is left.
    fn take(&mut self) -> bool {
        let left = self.0.checked_sub(1);
        self.0 = left.unwrap_or(0);
        left.is_some()
    }
}

impl Controller {
    /// Whether a job may not use empty machines for now. Best-effort work that fills them delays
    /// urgent jobs, which have to wait until it has saved: it takes an empty machine only while
    /// there are more than urgent work needs, or to start at all.
    pub(super) fn avoids_empty_machines(&self, job: &Job) -> bool {
        job.spec.priority == PriorityClass::BestEffort
            && !self.scheduler.candidates.spare_empty_machines
            && (job.placed > 0 || self.now.since(job.born) < MAX_EMPTY_MACHINE_AVOIDANCE)
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

    /// Whether writes to the store are short: they stopped the loop a moment ago.
    pub(super) fn short(&self) -> bool {
        self.now < self.commits.writes_short_until
    }

    /// Runs cycles for the jobs that go first, as long as their placements can be written soon.
    fn place_queued_jobs(&mut self, budget: &mut CycleBudget) {
        let max_pending = self.max_pending_placements();
        while budget.take() {
            if self.pending_placements() >= max_pending {
                if self.scheduler.queue.first_key().is_some() {
                    self.commits.writes_short_until = self.now + WRITE_SHORTAGE_HOLD;
                }
                return;
            }
            // Resources go by priority. While writes are what is short, they go by floors.
            let by_floors = self.short();
            let popped = if by_floors {
                self.scheduler.queue.pop_by_floors()
            } else {
                self.scheduler.queue.pop()
            };
            let Some(popped) = popped else { return };
            // Another task of the job that was placed last goes into the same write.
            let needs_write = self.commits.noted_jobs.last() != Some(&popped.id);
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

    fn pending_placements(&self) -> usize {
        self.commits.backlog.overdue_in(Lane::Places, self.now) + self.commits.noted_jobs.len()
    }

    fn charge_floors(&mut self, popped: &PoppedJob) {
        if let Some(job) = self.jobs.get(&popped.id) {
            let flow = self.commits.flows.of(&job.spec);
            self.scheduler.queue.record_served(flow);
        }
    }

    /// Places more tasks of the jobs that wait for a write: they go into the same one. They take
    /// resources, though, so jobs that rank below the first active one may not get ahead of it.
    fn extend_pending_placements(&mut self, budget: &mut CycleBudget) {
        let first_rank = self.scheduler.queue.first_key().map(|key| key.rank());
        for id in self.commits.backlog.placing() {
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

    fn rank(&self, id: &JobId) -> Option<QueueRank> {
        self.jobs.get(id).map(|job| self.order(job).rank())
    }

    /// Hands the placements of this run to the commits. Tasks of one job are committed together.
    fn commit_placed_jobs(&mut self) {
        for id in std::mem::take(&mut self.commits.noted_jobs) {
            self.commit(&id);
        }
    }
}

#[cfg(test)]
mod tests;
