//! Reserving a machine for a task that needs most of a machine.
//!
//! Borrowed tasks on a single machine rarely use most of it, so stopping them does not free enough
//! for such a task. The borrowed tasks on a machine are stopped nevertheless, and the machine is
//! kept for the job until the machine's other tasks have ended.

use super::super::Controller;
use crate::controller::preemption::HolderRequest;
use crate::jobs::JobKind;
use crate::jobs::cache::Job;
use crate::preempt::PreemptionSite;
use crate::quota::reclaim::{MachineReservation, ReclaimPlanner};
use crate::types::{JobId, MachineId, Millis, TaskId};

/// A machine may be reserved for a task that needs at least this fraction of it.
const MIN_MACHINE_FRACTION: f64 = 0.5;

/// How long a job waits for capacity by other means before a machine is reserved for it.
const WAIT_BEFORE_RESERVATION: Millis = Millis(8_000);

/// A job that makes no request for this long after a reservation became permitted is no longer
/// waiting; its next request starts a new wait.
const WAIT_EXPIRY: Millis = Millis(10_000);

/// How long a machine is reserved.
const RESERVATION_TIMEOUT: Millis = Millis(30_000);

/// Minimum time from one reservation for a job to the next, in multiples of
/// [`RESERVATION_TIMEOUT`], so that machines are not kept idle for long.
const RESERVATION_INTERVAL_FACTOR: u64 = 3;

/// A machine is not reserved if it runs a task whose estimated duration is longer than this many
/// times [`RESERVATION_TIMEOUT`].
const MAX_TASK_DURATION_FACTOR: f64 = 2.0;

impl Controller {
    /// The machine to reserve for a job's next task. `None`: the task is too small to need a
    /// reservation, the team is not entitled to it, or no machine would be available soon enough.
    pub(in crate::controller) fn plan_reservation(
        &self,
        id: &JobId,
        planner: ReclaimPlanner,
        sites: &[PreemptionSite],
    ) -> Option<MachineReservation> {
        let job = self.jobs.get(id).filter(|_| self.reclaims_per_task(id))?;
        if !self.needs_most_of_a_machine(job) {
            return None;
        }
        planner.plan_reservation(job.spec.resources, sites, |site, stopped| {
            self.remaining_s(&site.machine_id, stopped)
        })
    }

    /// Whether a task of the job needs at least [`MIN_MACHINE_FRACTION`] of a machine of some type.
    fn needs_most_of_a_machine(&self, job: &Job) -> bool {
        self.autoscaler.type_specs.iter().any(|type_spec| {
            let fraction = job.spec.resources.dominant_share(type_spec.resources);
            (MIN_MACHINE_FRACTION..=1.0).contains(&fraction)
        })
    }

    /// Seconds until all tasks on a machine except the stopped ones have ended, by their estimates.
    /// `None`: a task there runs for too long, or does not end on its own.
    fn remaining_s(&self, machine_id: &MachineId, stopped: &[TaskId]) -> Option<f64> {
        let mut longest_s: f64 = 0.0;
        for (id, index) in self.jobs.tasks_on(machine_id) {
            let job = self.jobs.get(id)?;
            let task = TaskId {
                job: id.clone(),
                index: *index,
            };
            if stopped.contains(&task) {
                continue;
            }
            if !ends_soon(job) {
                return None;
            }
            let running_s = self.now.since(job.last_placement_change).secs();
            longest_s = longest_s.max(job.spec.estimate_s - running_s);
        }
        Some(longest_s)
    }

    /// Whether a machine may be reserved for a job now: the job has waited long enough for other
    /// capacity, and long enough since its last reservation. The first call for a job starts the
    /// wait.
    pub(in crate::controller) fn may_reserve_machine(&mut self, id: &JobId) -> bool {
        let now = self.now;
        let not_before = &mut self.quota.reclaim.reserve_not_before;
        let permitted_at = not_before.get(id).copied();
        let permitted_at = permitted_at.filter(|at| now.since(*at) < WAIT_EXPIRY);
        if permitted_at.is_none() {
            not_before.insert(id.clone(), now + WAIT_BEFORE_RESERVATION);
        }
        permitted_at.is_some_and(|at| at <= now)
    }

    /// Reserves a machine for a job. The controller that holds the machine's shard stops tasks
    /// there: this one the planned victims, another one those that it chooses itself. Returns false
    /// if the job no longer exists.
    pub(in crate::controller) fn reserve_machine(
        &mut self,
        id: &JobId,
        reservation: MachineReservation,
    ) -> bool {
        if self.jobs.get(id).is_none() {
            return false;
        }
        let MachineReservation {
            machine_id,
            victims,
        } = reservation;
        tracing::info!(job = %id, %machine_id, ?victims, "reserving machine and stopping borrowed tasks");
        self.start_reservation_pause(id);
        let expires_at = self.now + RESERVATION_TIMEOUT;
        let request = HolderRequest::FreeResources;
        self.free_resources_on(id, machine_id, victims, expires_at, request);
        true
    }

    /// Starts the pause before a job's next reservation, and drops the expired waits of all jobs.
    fn start_reservation_pause(&mut self, id: &JobId) {
        let now = self.now;
        let pause = Millis(RESERVATION_TIMEOUT.0 * RESERVATION_INTERVAL_FACTOR);
        let not_before = &mut self.quota.reclaim.reserve_not_before;
        not_before.retain(|_, at| now.since(*at) < WAIT_EXPIRY);
        not_before.insert(id.clone(), now + pause);
    }
}

/// Whether a job's tasks end on their own within at most [`MAX_TASK_DURATION_FACTOR`] times the
/// duration of a reservation, by their estimate.
fn ends_soon(job: &Job) -> bool {
    let ends = job.spec.kind != JobKind::Service && !job.is_multi_task_gang();
    ends && job.spec.estimate_s <= RESERVATION_TIMEOUT.secs() * MAX_TASK_DURATION_FACTOR
}
