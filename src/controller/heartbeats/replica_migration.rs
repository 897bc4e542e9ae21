//! Migration of service replicas off machines that are being drained.

use crate::controller::Controller;
use crate::jobs::JobKind;
use crate::jobs::cache::Job;
use crate::types::{Attempt, MachineId, Millis, TaskId};
use crate::workers::Machine;
use crate::workers::reconcile::Stop;

/// Time between rounds of migrations. Each migration interrupts its replica briefly; pauses between
/// them keep the service available.
const MIGRATION_INTERVAL: Millis = Millis(20_000);
/// A service whose placements have changed is not migrated for this long, so that a replica serves
/// between moves.
const MIN_REPLICA_AGE: Millis = Millis(40_000);

/// A replica that is to be stopped, so that it is placed elsewhere.
struct Migration {
    task: TaskId,
    attempt: Attempt,
    machine_id: MachineId,
}

impl Controller {
    /// Stops a replica on each machine that is being drained, if another machine has the resources
    /// for it and its image, so that it restarts without a fetch.
    pub(super) fn migrate_replicas(&mut self) {
        if self.now.since(self.scheduler.replica_moved_at) < MIGRATION_INTERVAL {
            return;
        }
        let migrations: Vec<Migration> = self
            .machines
            .values()
            .filter(|machine| self.autoscaler.drains.contains(&machine.machine_id))
            .filter(|machine| self.token_for(&machine.shard).is_some())
            .filter_map(|machine| self.migration_from(machine))
            .collect();
        for migration in migrations {
            let Migration {
                task,
                attempt,
                machine_id,
            } = migration;
            tracing::info!(?task, %machine_id, "replica migration started");
            let save = false;
            self.scheduler.stops.insert(task, Stop { attempt, save });
            self.push_commands(&machine_id);
            self.scheduler.replica_moved_at = self.now;
        }
    }

    /// The first replica on a machine that can run on another one.
    fn migration_from(&self, machine: &Machine) -> Option<Migration> {
        let mut placed = self.jobs.tasks_on(&machine.machine_id);
        placed.find_map(|(id, index)| {
            let job = self.jobs.get(id)?;
            let placement = job.task(*index).placement()?;
            let task = TaskId {
                job: id.clone(),
                index: *index,
            };
            let can_move = self.is_stable_service(job)
                && !self.scheduler.stops.contains_key(&task)
                && self
                    .machines
                    .values()
                    .any(|target| self.can_take_replica(target, job, machine));
            can_move.then(|| Migration {
                task,
                attempt: placement.attempt,
                machine_id: machine.machine_id.clone(),
            })
        })
    }

    /// Whether the job is an active service whose placements have not changed recently.
    fn is_stable_service(&self, job: &Job) -> bool {
        job.spec.kind == JobKind::Service
            && job.is_active()
            && self.now.since(job.last_placement_change) > MIN_REPLICA_AGE
    }

    /// Whether a replica of the job may move from `source` to `target`.
    fn can_take_replica(&self, target: &Machine, job: &Job, source: &Machine) -> bool {
        // A service with several replicas is spread over zones, so each replica stays in its own.
        let zone_allowed = job.record.tasks == 1 || target.zone == source.zone;
        (self.is_schedulable_locally(target) || self.is_schedulable_by_peer(target))
            && target.images.contains_key(&job.spec.image)
            && zone_allowed
            && job
                .spec
                .allows(&target.machine_type, &target.zone, target.spot)
            && job.spec.resources.fits_in(self.available(target))
    }
}
