//! The index of available capacity: machines that can take tasks, by group (shard, type, spot or
//! not) and, within a group, by capacity level (what is available), and by the images in their
//! caches. It is updated as machines change, so that a cycle visits machines that fit instead of
//! the whole fleet.
//!
//! Machines of one class (group and level) are equivalent to a cycle, except for their images: those
//! with a job's image are found by a second index. The index only narrows the search: the caller still
//! has to filter each machine.

mod level;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use rustc_hash::FxHashMap as HashMap;

use crate::types::{Image, MachineId, MachineTypeId, Resources, ShardId, Zone};
pub use level::CapacityLevel;

/// Machines that a job either all allows or all excludes. The order of the fields is the order
/// in which groups are visited.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineGroup {
    /// This controller holds the shard.
    pub own: bool,
    /// The shard of the machines.
    pub shard: ShardId,
    /// The type of the machines.
    pub machine_type: MachineTypeId,
    /// Whether they are spot machines.
    pub spot: bool,
}

impl MachineGroup {
    /// The zone of the machines.
    pub fn zone(&self) -> &Zone {
        &self.shard.zone
    }
}

/// A machine's entry in the index.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexEntry {
    /// The group that the machine belongs to.
    pub group: MachineGroup,
    /// The machine's capacity level when the entry was made.
    pub level: CapacityLevel,
    /// The images in its cache, sorted.
    pub images: Vec<Image>,
}

/// Machines by group and level.
type MachinesByClass = BTreeMap<MachineGroup, BTreeMap<CapacityLevel, BTreeSet<MachineId>>>;

fn insert_machine(
    by_class: &mut MachinesByClass,
    machine_id: &MachineId,
    group: &MachineGroup,
    level: CapacityLevel,
) {
    if !by_class.contains_key(group) {
        by_class.insert(group.clone(), BTreeMap::new());
    }
    if let Some(levels) = by_class.get_mut(group) {
        levels.entry(level).or_default().insert(machine_id.clone());
    }
}

fn remove_machine(
    by_class: &mut MachinesByClass,
    machine_id: &MachineId,
    group: &MachineGroup,
    level: CapacityLevel,
) {
    let Some(levels) = by_class.get_mut(group) else {
        return;
    };
    if let Some(machine_ids) = levels.get_mut(&level) {
        machine_ids.remove(machine_id);
        if machine_ids.is_empty() {
            levels.remove(&level);
        }
    }
    if levels.is_empty() {
        by_class.remove(group);
    }
}

/// Machines of one group and one level.
#[derive(Clone, Copy, Debug)]
pub struct MachineClass<'a> {
    /// The group of the machines.
    pub group: &'a MachineGroup,
    /// The capacity level of the machines.
    pub level: CapacityLevel,
    /// The machines, by id.
    pub machine_ids: &'a BTreeSet<MachineId>,
}

/// Which machines a lookup finds, by the images in their caches.
#[derive(Clone, Copy, Debug)]
pub enum ImageFilter<'a> {
    /// Machines with this image in their cache.
    Image(&'a Image),
    /// All machines.
    Any,
}

/// The index of available capacity.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    entries: HashMap<MachineId, IndexEntry>,
    all: MachinesByClass,
    by_image: HashMap<Image, MachinesByClass>,
}

impl CapacityIndex {
    /// Number of machines in the index.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the index has no machines.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All machines in the index, in no particular order.
    pub fn machine_ids(&self) -> impl Iterator<Item = &MachineId> {
        self.entries.keys()
    }

    /// All entries, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = (&MachineId, &IndexEntry)> {
        self.entries.iter()
    }

    /// Whether a machine's entry shows this level, this shard and this number of images. It is cheaper
    /// than making a new entry and comparing it.
    pub fn is_current(
        &self,
        machine_id: &MachineId,
        own: bool,
        shard: &ShardId,
        level: CapacityLevel,
        image_count: usize,
    ) -> bool {
        let entry = self.entries.get(machine_id);
        entry.is_some_and(|entry| {
            entry.group.own == own
                && entry.group.shard == *shard
                && entry.level == level
                && entry.images.len() == image_count
        })
    }

    /// Adds a machine, or replaces its entry.
    pub fn update(&mut self, machine_id: &MachineId, entry: IndexEntry) {
        if self.entries.get(machine_id) == Some(&entry) {
            return;
        }
        self.remove(machine_id);
        let (group, level) = (&entry.group, entry.level);
        insert_machine(&mut self.all, machine_id, group, level);
        for image in &entry.images {
            let by_class = self.by_image.entry(image.clone()).or_default();
            insert_machine(by_class, machine_id, group, level);
        }
        self.entries.insert(machine_id.clone(), entry);
    }

    /// Removes a machine that can take no tasks any more.
    pub fn remove(&mut self, machine_id: &MachineId) {
        let Some(entry) = self.entries.remove(machine_id) else {
            return;
        };
        remove_machine(&mut self.all, machine_id, &entry.group, entry.level);
        for image in &entry.images {
            if let Some(by_class) = self.by_image.get_mut(image) {
                remove_machine(by_class, machine_id, &entry.group, entry.level);
                if by_class.is_empty() {
                    self.by_image.remove(image);
                }
            }
        }
    }

    fn machines_by_class(&self, image_filter: ImageFilter) -> Option<&MachinesByClass> {
        match image_filter {
            ImageFilter::Image(image) => self.by_image.get(image),
            ImageFilter::Any => Some(&self.all),
        }
    }

    /// The groups that have machines, in their order.
    pub fn groups(&self) -> impl Iterator<Item = &MachineGroup> {
        self.all.keys()
    }

    /// Classes of a group in which these resources are available, the fullest first.
    pub fn fitting<'a>(
        &'a self,
        image_filter: ImageFilter,
        group: &'a MachineGroup,
        resources: Resources,
    ) -> impl Iterator<Item = MachineClass<'a>> + use<'a> {
        let by_class = self.machines_by_class(image_filter);
        let levels = by_class.and_then(|by_class| by_class.get(group));
        let from = (
            Bound::Included(CapacityLevel::least_fitting(resources)),
            Bound::Unbounded,
        );
        let levels = levels
            .into_iter()
            .flat_map(move |levels| levels.range(from));
        let fitting = levels.filter(move |(level, _)| resources.fits_in(level.available()));
        fitting.map(move |(level, machine_ids)| MachineClass {
            group,
            level: *level,
            machine_ids,
        })
    }

    /// Whether a group has a machine on which these resources are not available.
    pub fn any_too_full(&self, group: &MachineGroup, resources: Resources) -> bool {
        let levels = self.all.get(group);
        let mut levels = levels.into_iter().flat_map(|levels| levels.keys());
        levels.any(|level| !resources.fits_in(level.available()))
    }

    /// Classes of a group in which these resources are not available, those with most available
    /// first.
    pub fn too_full<'a>(
        &'a self,
        group: &'a MachineGroup,
        resources: Resources,
    ) -> impl Iterator<Item = MachineClass<'a>> + use<'a> {
        let levels = self.all.get(group).into_iter();
        let levels = levels.flat_map(|levels| levels.iter().rev());
        let too_full = levels.filter(move |(level, _)| !resources.fits_in(level.available()));
        too_full.map(move |(level, machine_ids)| MachineClass {
            group,
            level: *level,
            machine_ids,
        })
    }
}

#[cfg(test)]
mod tests;
