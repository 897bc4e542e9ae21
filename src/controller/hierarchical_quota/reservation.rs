//! Reserving a machine for a task that needs most of one.
//!
//! Borrowed tasks on a single machine rarely use most of it. So the borrowed tasks there are
//! stopped, and the machine is kept for the job until its other tasks have ended.

use super::super::{Controller, Effect};
use crate::jobs::JobKind;
use crate::jobs::cache::Job;
use crate::peers::Message;
use crate::preempt::PreemptionSite;
use crate::quota::reclaim::{MachineReservation, ReclaimPlanner};
use crate::types::{JobId, MachineId, Millis, TaskId};

/// A task that needs at least this part of a machine may have one reserved.
const MIN_PART_OF_MACHINE: f64 = 0.5;

/// How long a job waits for capacity by other means before a machine is reserved for it.
const WAIT_BEFORE_RESERVATION: Millis = Millis(8_000);

/// A job that made no request for this long after it was allowed to is no longer waiting; its next
/// request starts a new wait.
const WAIT_EXPIRY: Millis = Millis(10_000);

/// How long a machine is reserved.
const RESERVATION_TIMEOUT: Millis = Millis(30_000);

/// Pause before the next reservation for the same job, in multiples of the duration of a
/// reservation, so that machines are not kept idle for long.
const PAUSE_PER_RESERVATION: u64 = 3;

/// A task whose estimated duration is more than this many reservations is not waited for.
const MAX_RESERVATIONS_PER_TASK: f64 = 2.0;

impl Controller {
    /// The machine to reserve for a job's next task. `None`: the task is too small to need that, or
    /// no machine would be available soon enough.
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

    /// Whether a task of the job needs at least [`MIN_PART_OF_MACHINE`] of a machine of some type.
    fn needs_most_of_a_machine(&self, job: &Job) -> bool {
        self.autoscaler.type_specs.iter().any(|type_spec| {
            let part = job.spec.resources.dominant_share(type_spec.resources);
            (MIN_PART_OF_MACHINE..=1.0).contains(&part)
        })
    }

    /// Seconds until all tasks on a machine except the stopped ones have ended, by their estimates.
    /// `None`: some task there runs for too long, or has no end.
    fn remaining_s(&self, machine_id: &MachineId, stopped: &[TaskId]) -> Option<f64> {
        let mut longest: f64 = 0.0;
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
            longest =
                longest.max(job.spec.estimate_s - self.now.since(job.last_placement_change).secs());
        }
        Some(longest)
    }

    /// Whether a machine may be reserved for a job now: the job has waited long enough for other
    /// capacity, and long enough since its last reservation.
    pub(in crate::controller) fn may_reserve_machine(&mut self, id: &JobId) -> bool {
        let now = self.now;
        let not_before = &mut self.quota.reclaim.reserve_not_before;
        let known = not_before.get(id).copied();
        let known = known.filter(|next| now.since(*next) < WAIT_EXPIRY);
        if known.is_none() {
            not_before.insert(id.clone(), now + WAIT_BEFORE_RESERVATION);
        }
        known.is_some_and(|next| next <= now)
    }

    /// Reserves a machine for a job. The controller that holds the machine stops the planned tasks
    /// there. Returns false if the job no longer exists.
    pub(in crate::controller) fn reserve_machine(
        &mut self,
        id: &JobId,
        reservation: MachineReservation,
    ) -> bool {
        let Some(resources) = self.jobs.get(id).map(|job| job.spec.resources) else {
            return false;
        };
        let MachineReservation {
            machine_id,
            victims,
        } = reservation;
        tracing::info!(job = %id, %machine_id, ?victims, "reclaiming capacity");
        self.note_reservation(id);
        let until = self.now + RESERVATION_TIMEOUT;
        self.scheduler
            .nominations
            .add(id, &machine_id, resources, until);
        match self.machines.get(&machine_id) {
            Some(machine) if !self.is_schedulable_by_us(machine) => {
                let to = machine.last_contact_by.clone();
                let (job, machine_id) = (id.to_string(), machine_id.to_string());
                let message = Message::Preempt { job, machine_id };
                self.effects.push(Effect::Peer { to, message });
            }
            _ => self.stop_victims(&machine_id, victims),
        }
        true
    }

    /// Starts the pause before a job's next reservation, and drops the waits that have expired.
    fn note_reservation(&mut self, id: &JobId) {
        let now = self.now;
        let pause = Millis(RESERVATION_TIMEOUT.0 * PAUSE_PER_RESERVATION);
        let not_before = &mut self.quota.reclaim.reserve_not_before;
        not_before.retain(|_, next| now.since(*next) < WAIT_EXPIRY);
        not_before.insert(id.clone(), now + pause);
    }
}

/// Whether a job's running tasks end on their own within about the time of a reservation.
fn ends_soon(job: &Job) -> bool {
    let finite = job.spec.kind != JobKind::Service && !job.is_multi_task_gang();
    finite && job.spec.estimate_s <= RESERVATION_TIMEOUT.secs() * MAX_RESERVATIONS_PER_TASK
}
