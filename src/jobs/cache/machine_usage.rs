//! Resources allocated on each machine, updated as tasks come and go.
//!
//! Sums are updated task by task, so that reading a machine's usage costs the same whatever is on it.

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use crate::jobs::{JobSpec, PriorityClass};
use crate::types::{MachineId, Resources};

/// Length of an array that is indexed by [`PriorityClass`].
const PRIORITY_CLASSES: usize = 4;

/// Whether a task is placed on a machine by the records, or only reserved there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Allocation {
    /// The records place the task there.
    Committed,
    /// The task's placement is pending: no record shows it yet.
    Reserved,
}

/// What is allocated on one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineUsage {
    /// Allocated by committed tasks and reservations.
    pub allocated: Resources,
    /// Allocated by committed tasks that can be preempted without much loss.
    pub preemptible: Resources,
    /// Allocated by committed tasks of each priority, the lowest first.
    by_priority: [Resources; PRIORITY_CLASSES],
    tasks: u32,
    /// Number of committed tasks that can't be preempted without much loss.
    non_preemptible: u32,
}

impl MachineUsage {
    /// Whether all committed tasks can be preempted without much loss.
    pub fn is_preemptible(&self) -> bool {
        self.non_preemptible == 0
    }

    /// Resources allocated by committed tasks of lower priority.
    pub fn below_priority(&self, priority: PriorityClass) -> Resources {
        let lower = self.by_priority.iter().take(priority as usize);
        lower.fold(Resources::default(), |sum, resources| sum.plus(*resources))
    }

    fn add(&mut self, spec: &JobSpec, allocation: Allocation) {
        self.tasks += 1;
        self.allocated = self.allocated.plus(spec.resources);
        if allocation == Allocation::Reserved {
            return;
        }
        let of_priority = &mut self.by_priority[spec.priority as usize];
        *of_priority = of_priority.plus(spec.resources);
        if spec.is_cheaply_preemptible() {
            self.preemptible = self.preemptible.plus(spec.resources);
        } else {
            self.non_preemptible += 1;
        }
    }

    fn remove(&mut self, spec: &JobSpec, allocation: Allocation) {
        self.tasks -= 1;
        self.allocated = self.allocated.minus(spec.resources);
        if allocation == Allocation::Reserved {
            return;
        }
        let of_priority = &mut self.by_priority[spec.priority as usize];
        *of_priority = of_priority.minus(spec.resources);
        if spec.is_cheaply_preemptible() {
            self.preemptible = self.preemptible.minus(spec.resources);
        } else {
            self.non_preemptible -= 1;
        }
    }
}

/// What is allocated on all machines, and which of them have changed since they were last asked for.
#[derive(Default)]
pub(super) struct MachineUsages {
    by_machine: HashMap<MachineId, MachineUsage>,
    changed: HashSet<MachineId>,
}

impl MachineUsages {
    /// Allocates a task's resources on a machine.
    pub(super) fn allocate(
        &mut self,
        machine_id: &MachineId,
        spec: &JobSpec,
        allocation: Allocation,
    ) {
        let usage = self.by_machine.entry(machine_id.clone()).or_default();
        usage.add(spec, allocation);
        self.changed.insert(machine_id.clone());
    }

    /// Frees a task's resources on a machine.
    pub(super) fn free(&mut self, machine_id: &MachineId, spec: &JobSpec, allocation: Allocation) {
        if let Some(usage) = self.by_machine.get_mut(machine_id) {
            usage.remove(spec, allocation);
            // The sums of an empty machine are dropped, and with them their rounding error.
            if usage.tasks == 0 {
                self.by_machine.remove(machine_id);
            }
        }
        self.changed.insert(machine_id.clone());
    }

    /// Whether anything is allocated on a machine.
    pub(super) fn is_occupied(&self, machine_id: &MachineId) -> bool {
        self.by_machine.contains_key(machine_id)
    }

    /// What is allocated on a machine.
    pub(super) fn get(&self, machine_id: &MachineId) -> MachineUsage {
        self.by_machine.get(machine_id).copied().unwrap_or_default()
    }

    /// The machines whose allocation has changed since the last call.
    pub(super) fn take_changed(&mut self) -> HashSet<MachineId> {
        std::mem::take(&mut self.changed)
    }
}
