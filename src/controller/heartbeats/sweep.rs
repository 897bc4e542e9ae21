//! The periodic pass over all machines: expired leases, probes, and outdated state.

use crate::controller::Controller;
use crate::fleet::fetch_rate;
use crate::jobs::cache::{Evidence, TaskChange};
use crate::types::{FencingToken, JobId, Millis};
use crate::workers::Machine;

/// Time between passes over all machines.
const SWEEP_INTERVAL: Millis = Millis(1_000);
/// A forwarded job whose record is still unknown after this time is dropped: the watch delivers
/// records much sooner.
const FORWARDED_EARLY_TTL: Millis = Millis(10_000);
/// A machine without tasks from which no controller has received heartbeats for this long is
/// dropped from this controller's view.
pub(in crate::controller) const SILENT_MACHINE_TTL: Millis = Millis(120_000);
/// Factor by which a worker's clock may be slower than this controller's when its lease expires and
/// its tasks are released.
const LEASE_EXPIRY_CLOCK_FACTOR: f64 = 1.002;
/// Seconds by which a worker's timers may fire late when its lease expires.
const LEASE_EXPIRY_MARGIN_S: f64 = 1.5;

impl Controller {
    /// Expires workers' leases by this controller's clock, probes silent machines, and drops
    /// outdated state; at most once per [`SWEEP_INTERVAL`].
    pub(in crate::controller) fn sweep_machines(&mut self) {
        if self.now.since(self.contact.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.contact.last_sweep = self.now;
        self.update_overdue_heartbeats();
        self.announce_tokens();
        self.probe_silent_machines();
        self.release_tasks_of_expired_leases();
        self.expire_image_fetches();
        self.forget_finished_stops();
        self.migrate_replicas();
        self.expire_nominations();
        self.forget_finished_jobs();
        self.forget_silent_machines();
        self.raise_token_if_due();
        self.log_start_counts();
        self.update_all_queue_entries();
    }

    /// Releases the tasks of workers whose lease has expired: such a worker has stopped all its
    /// tasks.
    fn release_tasks_of_expired_leases(&mut self) {
        let lease_s = self.settings.deployment.workers.lease_s;
        let lease = Millis::from_secs(lease_s * LEASE_EXPIRY_CLOCK_FACTOR + LEASE_EXPIRY_MARGIN_S);
        let mut changes = Vec::new();
        for machine in self.machines.values() {
            let Some(tenure) = self.tenure_of(&machine.shard) else {
                continue;
            };
            // In partition mode any controller may renew the leases of this controller's workers.
            if self.partition.mode.is_on() || !machine.lease_expired(tenure, lease, self.now) {
                continue;
            }
            changes.extend(self.task_releases(machine, tenure.token));
        }
        self.request_changes(changes);
    }

    /// Releases of all tasks on a machine for which no change is in progress.
    fn task_releases(
        &self,
        machine: &Machine,
        token: FencingToken,
    ) -> impl Iterator<Item = (JobId, u32, TaskChange)> {
        let placed = self.jobs.tasks_on(&machine.machine_id);
        placed.filter_map(move |(id, index)| {
            let job = self.jobs.get(id)?;
            let placement = job.task(*index).placement()?;
            let release = TaskChange::Release {
                attempt: placement.attempt,
                evidence: Evidence::Holder(token),
            };
            let due = placement.agent_epoch <= machine.agent_epoch
                && !job.pending_changes.contains_key(index);
            due.then(|| (id.clone(), *index, release))
        })
    }

    /// Drops pending image fetches that should have finished already.
    fn expire_image_fetches(&mut self) {
        let fetching = |machine: &&mut Machine| !machine.pending_fetches.is_empty();
        for machine in self.machines.values_mut().filter(fetching) {
            let rate = fetch_rate(&self.autoscaler.type_specs, &machine.machine_type);
            machine.expire_fetches(rate, self.now);
        }
    }

    /// Drops stops of attempts that are no longer placed.
    fn forget_finished_stops(&mut self) {
        let jobs = &self.jobs;
        self.scheduler.stops.retain(|task, stop| {
            jobs.get(&task.job)
                .and_then(|job| job.task(task.index).placement())
                .is_some_and(|placement| placement.attempt == stop.attempt)
        });
    }

    /// Removes nominations that have expired, or whose job has no waiting tasks.
    fn expire_nominations(&mut self) {
        let waits = |id: &JobId| {
            self.jobs
                .get(id)
                .is_some_and(|job| job.is_active() && job.waiting_tasks() > 0)
        };
        let expired: Vec<JobId> = self
            .scheduler
            .nominations
            .by_job
            .iter()
            .filter(|(id, nomination)| nomination.expires_at <= self.now || !waits(id))
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.scheduler.nominations.remove(&id);
        }
    }

    /// Drops the scheduler's state about finished jobs.
    fn forget_finished_jobs(&mut self) {
        let (now, jobs) = (self.now, &self.jobs);
        self.scheduler
            .preemption_requests
            .retain(|id, _| jobs.get(id).is_some());
        self.scheduler.crash_loops.retain(|id| {
            jobs.get(id)
                .is_some_and(|job| job.is_active() && job.done == 0)
        });
        self.scheduler
            .forwarded_early
            .retain(|_, since| now.since(*since) < FORWARDED_EARLY_TTL);
    }

    /// Drops machines without tasks that have been silent for [`SILENT_MACHINE_TTL`]. What a worker must
    /// not be told to forget is kept, in case that it reports again.
    fn forget_silent_machines(&mut self) {
        let (now, jobs) = (self.now, &self.jobs);
        let dropped_channels = &mut self.contact.dropped_channels;
        self.machines.retain(|machine_id, machine| {
            let keep = now.since(machine.last_contact) < SILENT_MACHINE_TTL
                || jobs.is_occupied(machine_id);
            if !keep {
                dropped_channels.keep(machine);
            }
            keep
        });
        let (leases, me) = (&self.membership.leases, &self.me);
        let deleted = &self.autoscaler.fleet.deleted;
        dropped_channels.retain_unfenced(
            |shard| leases.held_tenure(shard, me),
            |machine_id| !deleted.contains(machine_id),
        );
    }
}
