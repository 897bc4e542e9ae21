//! Which machines may be used for tasks, and how much of each is available.

use crate::controller::Controller;
use crate::fleet::MachineTypeSpec;
use crate::types::{JobId, MachineTypeId, Resources};
use crate::workers::Machine;

impl Controller {
    /// The specification of a machine type; `None` if it is unknown.
    pub(in crate::controller) fn type_spec(
        &self,
        machine_type: &MachineTypeId,
    ) -> Option<&MachineTypeSpec> {
        self.autoscaler.type_spec(machine_type)
    }

    /// The resources of an empty machine of this type; zero if the type is unknown.
    pub(super) fn capacity_of_type(&self, machine_type: &MachineTypeId) -> Resources {
        let type_spec = self.type_spec(machine_type);
        type_spec.map(|spec| spec.resources).unwrap_or_default()
    }

    /// The resources of the machine when it is empty.
    pub(super) fn capacity(&self, machine: &Machine) -> Resources {
        self.capacity_of_type(&machine.machine_type)
    }

    /// The resources that are not allocated on a machine, including those kept for nominated jobs.
    pub(in crate::controller) fn available(&self, machine: &Machine) -> Resources {
        self.capacity(machine)
            .minus(self.jobs.allocated(&machine.machine_id))
    }

    /// The resources of a machine that a job may use: those not allocated, less those kept for
    /// nominated jobs of the same or a higher priority.
    pub(in crate::controller) fn available_for(&self, machine: &Machine, id: &JobId) -> Resources {
        let mut available = self.available(machine);
        let mut cached_priority = None;
        for (other, resources) in self
            .scheduler
            .nominations
            .jobs_on(&machine.machine_id, self.now)
        {
            let priority = *cached_priority
                .get_or_insert_with(|| self.jobs.get(id).map(|job| job.spec.priority));
            let nominee = self.jobs.get(other).filter(|_| other != id);
            if nominee.is_some_and(|nominee| priority <= Some(nominee.spec.priority)) {
                available = available.minus(resources);
            }
        }
        available
    }

    /// Whether any controller may place tasks on a machine.
    pub(in crate::controller) fn is_schedulable(&self, machine: &Machine) -> bool {
        self.is_schedulable_locally(machine) || self.is_schedulable_by_peer(machine)
    }

    /// Whether this controller may place tasks on a machine itself: it holds the machine's shard,
    /// the worker has accepted a fencing token of its tenure, and the machine is in service.
    pub(in crate::controller) fn is_schedulable_locally(&self, machine: &Machine) -> bool {
        self.tenure_of(&machine.shard).is_some_and(|tenure| {
            machine.has_joined(tenure)
                && machine
                    .last_answer
                    .is_some_and(|(under, _)| under == tenure.acquired)
                && self.is_in_service(machine)
        })
    }

    /// Whether another controller may place tasks on a machine, according to the reports of the
    /// controller that holds the machine's shard.
    pub(in crate::controller) fn is_schedulable_by_peer(&self, machine: &Machine) -> bool {
        let leases = &self.membership.leases;
        let holder = leases.shards.get(&machine.shard);
        self.token_for(&machine.shard).is_none()
            && holder.is_some_and(|holder| holder.controller == machine.last_contact_by)
            && self.is_in_service(machine)
    }

    /// Whether a machine is healthy, and is neither drained nor deleted.
    fn is_in_service(&self, machine: &Machine) -> bool {
        machine.is_schedulable(self.now, self.heartbeat_timeout())
            && !self.autoscaler.drains.contains(&machine.machine_id)
            && !self.autoscaler.fleet.deleted.contains(&machine.machine_id)
    }
}
