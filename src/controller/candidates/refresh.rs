//! Keeps the index of available capacity up to date with the machines.
//!
//! Changes are applied when a cycle needs the index. A periodic sweep compares all machines with
//! it, since the passage of time alone changes which machines are schedulable.

use crate::controller::Controller;
use crate::cycle::index::{CapacityLevel, IndexEntry, MachineGroup};
use crate::types::{Image, MachineId, Millis};
use crate::workers::Machine;

/// Time between two sweeps. A sweep examines every machine, so it must not run in each cycle. It
/// detects silent machines, and silence develops over seconds.
const SWEEP_INTERVAL: Millis = Millis(200);

/// The result of a comparison of the machines with the index.
struct SweepFindings {
    /// How many machines are schedulable.
    schedulable: usize,
    /// Schedulable machines whose entry in the index is outdated.
    stale: Vec<MachineId>,
}

impl Controller {
    /// Brings the index up to date: updates the entries of machines that changed and, once per
    /// [`SWEEP_INTERVAL`], compares all machines with the index.
    pub(in crate::controller) fn refresh_candidates(&mut self) {
        let mut changed = self.jobs.take_changed_machines();
        changed.extend(std::mem::take(
            &mut self.scheduler.candidates.changed_machines,
        ));
        // A sweep compares only the number of images, so machines whose images changed must be
        // updated here.
        self.update_index(changed);
        if self.now.since(self.scheduler.candidates.swept_at) >= SWEEP_INTERVAL {
            self.sweep_index();
        }
    }

    /// Updates the entries of these machines, and removes machines that are not schedulable.
    fn update_index(&mut self, machine_ids: impl IntoIterator<Item = MachineId>) {
        for machine_id in machine_ids {
            let entry = self
                .machines
                .get(&machine_id)
                .and_then(|machine| self.index_entry(machine));
            let index = &mut self.scheduler.candidates.index;
            match entry {
                Some(entry) => index.update(&machine_id, entry),
                None => index.remove(&machine_id),
            }
        }
    }

    /// A machine's entry in the index; `None` if it is not schedulable.
    fn index_entry(&self, machine: &Machine) -> Option<IndexEntry> {
        let own = self.is_schedulable_locally(machine);
        if !own && !self.is_schedulable_by_peer(machine) {
            return None;
        }
        let mut images: Vec<Image> = machine.images.keys().cloned().collect();
        images.sort();
        Some(IndexEntry {
            group: MachineGroup {
                own,
                shard: machine.shard.clone(),
                machine_type: machine.machine_type.clone(),
                spot: machine.spot,
            },
            level: self.capacity_level(machine),
            images,
        })
    }

    /// The capacity level of a machine in the index.
    fn capacity_level(&self, machine: &Machine) -> CapacityLevel {
        let usage = self.jobs.machine_usage(&machine.machine_id);
        let available = self.capacity(machine).minus(usage.allocated);
        CapacityLevel::new(available, usage.preemptible, machine.pending_fetches.len())
    }

    /// Compares all machines with the index and corrects it.
    fn sweep_index(&mut self) {
        let SweepFindings { schedulable, stale } = self.compare_with_index();
        self.work_counters.swept.add(self.machines.len());
        let entered = stale.len();
        self.update_index(stale);
        if self.scheduler.candidates.index.len() > schedulable {
            self.remove_unschedulable();
        }
        self.scheduler.candidates.spare_empty_machines = self.has_spare_empty_machines();
        self.scheduler.candidates.swept_at = self.now;
        tracing::trace!(usable = schedulable, entered, "capacity index swept");
    }

    /// Looks for schedulable machines whose entry in the index is missing or outdated.
    fn compare_with_index(&self) -> SweepFindings {
        let mut findings = SweepFindings {
            schedulable: 0,
            stale: Vec::new(),
        };
        for (machine_id, machine) in &self.machines {
            let own = self.is_schedulable_locally(machine);
            if !own && !self.is_schedulable_by_peer(machine) {
                continue;
            }
            findings.schedulable += 1;
            let level = self.capacity_level(machine);
            let (shard, images) = (&machine.shard, machine.images.len());
            let index = &self.scheduler.candidates.index;
            if !index.is_current(machine_id, own, shard, level, images) {
                findings.stale.push(machine_id.clone());
            }
        }
        findings
    }

    /// Removes machines from the index that are not schedulable.
    fn remove_unschedulable(&mut self) {
        let unschedulable = |machine_id: &&MachineId| {
            let machine = self.machines.get(*machine_id);
            machine.is_none_or(|machine| !self.is_schedulable(machine))
        };
        let index = &self.scheduler.candidates.index;
        let removed: Vec<MachineId> = index.machine_ids().filter(unschedulable).cloned().collect();
        for machine_id in removed {
            self.scheduler.candidates.index.remove(&machine_id);
        }
    }

    /// Whether more machines are empty than the headroom for urgent work needs.
    fn has_spare_empty_machines(&self) -> bool {
        let headroom = self.headroom();
        let needed: u32 = headroom.iter().map(|headroom| headroom.machines).sum();
        let index = &self.scheduler.candidates.index;
        let empty = index
            .machine_ids()
            .filter(|machine_id| !self.jobs.is_occupied(machine_id));
        empty.count() > needed as usize
    }

    /// Compares the index with entries computed anew from the machines, for tests: returns a line
    /// for each difference. Between two sweeps a machine's schedulability, or an image that it
    /// stopped fetching, may be outdated; everything else must be correct at any moment.
    pub fn index_differences(&mut self) -> Vec<String> {
        self.refresh_candidates();
        let candidates = &self.scheduler.candidates;
        let swept = candidates.swept_at == self.now;
        let mut differences: Vec<String> = candidates
            .index
            .entries()
            .filter_map(|(machine_id, actual)| self.entry_difference(machine_id, actual, swept))
            .collect();
        let machines = self.machines.values();
        let schedulable = machines.filter(|machine| self.index_entry(machine).is_some());
        let (schedulable, indexed) = (schedulable.count(), candidates.index.len());
        if swept && schedulable != indexed {
            differences.push(format!(
                "{indexed} machines indexed, {schedulable} schedulable"
            ));
        }
        differences
    }

    /// How a machine's entry differs from what it should be, if it does.
    fn entry_difference(
        &self,
        machine_id: &MachineId,
        actual: &IndexEntry,
        swept: bool,
    ) -> Option<String> {
        let machine = self.machines.get(machine_id);
        let expected = machine.and_then(|machine| self.index_entry(machine));
        let matches = match &expected {
            Some(expected) if swept => expected == actual,
            Some(expected) => {
                expected.level.available() == actual.level.available()
                    && expected.images == actual.images
            }
            None => !swept,
        };
        (!matches).then(|| format!("{machine_id}: indexed as {actual:?}, expected {expected:?}"))
    }
}
