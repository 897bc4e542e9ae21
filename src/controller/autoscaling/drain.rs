//! Consolidation: a machine with few tasks is drained if all of them fit on other machines.

use std::cmp::Ordering;

use rustc_hash::FxHashSet as HashSet;

use super::Controller;
use crate::jobs::JobKind;
use crate::jobs::cache::Job;
use crate::types::{MachineId, Resources, Zone};

/// Only a machine with at least this share of its resources available is drained, so that few
/// tasks have to move.
const MIN_AVAILABLE_SHARE: f64 = 0.4;
/// Only this many of the emptiest machines are considered at a time, which bounds the work.
const MAX_DRAIN_CANDIDATES: usize = 8;

/// A machine with the resources that its tasks leave available.
#[derive(Clone)]
struct MachineResources {
    machine_id: MachineId,
    capacity: Resources,
    available: Resources,
}

impl MachineResources {
    /// The fraction of the machine's resources that is available.
    fn available_share(&self) -> f64 {
        self.available.dominant_share(self.capacity)
    }

    fn emptiest_first(&self, other: &Self) -> Ordering {
        other.available_share().total_cmp(&self.available_share())
    }

    /// Whether it has tasks, but few. A machine without any is returned by the plan.
    fn is_nearly_empty(&self) -> bool {
        self.available != self.capacity && self.available_share() >= MIN_AVAILABLE_SHARE
    }
}

impl Controller {
    /// Starts to drain the emptiest machine whose tasks all fit elsewhere: replicas on machines
    /// where their image is cached, so that they restart without a fetch. Tasks of arrays end by
    /// themselves.
    pub(super) fn consolidate(&mut self) {
        let machines = self.schedulable_machines();
        let min_ready = self.required_ready_machines();
        let candidates = machines.iter().take(MAX_DRAIN_CANDIDATES);
        let to_drain = candidates
            .filter(|machine| machine.is_nearly_empty())
            .map(|machine| &machine.machine_id)
            .find(|machine_id| self.can_drain(machine_id, &machines, min_ready));
        if let Some(machine_id) = to_drain {
            tracing::info!(%machine_id, "drain started");
            self.autoscaler.drains.insert(machine_id.clone());
        }
    }

    /// Machines that take new tasks, the emptiest first.
    fn schedulable_machines(&self) -> Vec<MachineResources> {
        let rented = self.autoscaler.fleet.machines.iter();
        let mut machines: Vec<MachineResources> = rented
            .filter(|(machine_id, _)| {
                self.machines.get(machine_id).is_some_and(|machine| {
                    self.is_schedulable_locally(machine) || self.is_schedulable_by_peer(machine)
                })
            })
            .filter_map(|(machine_id, rented)| {
                let capacity = self.autoscaler.type_spec(&rented.machine_type)?.resources;
                Some(MachineResources {
                    machine_id: machine_id.clone(),
                    capacity,
                    available: capacity.minus(self.jobs.allocated(machine_id)),
                })
            })
            .collect();
        machines.sort_by(MachineResources::emptiest_first);
        machines
    }

    /// Whether all tasks of a machine fit on the others and, if the machine is ready itself, at least
    /// `min_ready` others stay ready.
    fn can_drain(
        &self,
        machine_id: &MachineId,
        machines: &[MachineResources],
        min_ready: usize,
    ) -> bool {
        let mut targets: Vec<MachineResources> = machines
            .iter()
            .filter(|other| other.machine_id != *machine_id)
            .filter(|other| !self.autoscaler.drains.contains(&other.machine_id))
            .cloned()
            .collect();
        let Some(occupied) = self.relocate_tasks(machine_id, &mut targets) else {
            return false;
        };
        let still_ready = targets
            .iter()
            .filter(|target| {
                self.is_ready(&target.machine_id) && !occupied.contains(&target.machine_id)
            })
            .count();
        still_ready >= min_ready || !self.is_ready(machine_id)
    }

    /// Reserves resources on `targets` for all tasks of a machine, each on the fullest target that
    /// fits, as the scheduler would choose. Returns the machines that would no longer be ready, or
    /// `None` if some task fits nowhere.
    fn relocate_tasks(
        &self,
        from: &MachineId,
        targets: &mut [MachineResources],
    ) -> Option<HashSet<MachineId>> {
        let mut occupied = HashSet::default();
        for (job_id, _) in self.jobs.tasks_on(from) {
            let Some(job) = self.jobs.get(job_id) else {
                continue;
            };
            if job.spec.kind == JobKind::Gang || !job.is_active() {
                return None;
            }
            let fullest_first = targets.iter_mut().rev();
            let target = fullest_first
                .filter(|target| job.spec.resources.fits_in(target.available))
                .find(|target| self.may_relocate_to(&target.machine_id, job, from))?;
            target.available = target.available.minus(job.spec.resources);
            if !job.spec.is_cheaply_preemptible() {
                occupied.insert(target.machine_id.clone());
            }
        }
        Some(occupied)
    }

    /// Whether a task of a job may move to the machine `target` from the machine `from`. A task
    /// that preemption must not stop stays in its zone unless it is the only one of its job, moves
    /// only to a machine where its image is cached, and does not occupy a machine that is ready.
    fn may_relocate_to(&self, target: &MachineId, job: &Job, from: &MachineId) -> bool {
        let Some(machine) = self.machines.get(target) else {
            return false;
        };
        let spec = &job.spec;
        let allowed = spec.allows(&machine.machine_type, &machine.zone, machine.spot);
        let same_zone = || Some(&machine.zone) == self.zone_of(from);
        allowed
            && (spec.is_cheaply_preemptible()
                || (job.record.tasks == 1 || same_zone())
                    && machine.images.contains_key(&spec.image)
                    && !self.is_ready(target))
    }

    fn zone_of(&self, machine_id: &MachineId) -> Option<&Zone> {
        self.machines.get(machine_id).map(|machine| &machine.zone)
    }

    /// Whether an ordinary machine has nothing on it but tasks that urgent work may preempt.
    fn is_ready(&self, machine_id: &MachineId) -> bool {
        let rented = self.autoscaler.fleet.machines.get(machine_id);
        self.jobs.is_preemptible(machine_id) && rented.is_some_and(|rented| !rented.spot)
    }

    /// How many ordinary machines the headroom requires.
    fn required_ready_machines(&self) -> usize {
        self.headroom()
            .iter()
            .filter(|kind| !kind.spot)
            .map(|kind| kind.machines as usize)
            .sum()
    }
}
