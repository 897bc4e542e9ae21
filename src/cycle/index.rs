//! The index of free room: machines that can take tasks, by shard, type and kind, by what is free on each, and
//! by image. Kept as things change, so that a cycle visits machines that fit instead of the whole fleet.
//!
//! Machines of one class look alike to a cycle, but for the images in their caches: those that have a job's
//! image are found by a second index. What the index says is a shortlist; whoever uses it asks the machine.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use rustc_hash::FxHashMap as HashMap;

use crate::types::{Image, MachineId, MachineTypeId, Resources, ShardId, Zone};

/// Machines that are allowed, or not, to a job as a whole.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// Of a shard that this controller holds.
    pub own: bool,
    pub shard: ShardId,
    pub machine_type: MachineTypeId,
    pub spot: bool,
}

impl Group {
    pub fn zone(&self) -> &Zone {
        &self.shard.zone
    }
}

/// What a cycle sees of a machine, but for its images.
#[derive(Clone, Copy, Debug)]
pub struct CapacityLevel {
    available: Resources,
    /// Taken by work that gives way.
    soft: Resources,
    /// Images that are being fetched.
    fetches: usize,
}

/// Amounts are rounded to this part of one: sums that differ in their last bits are one level.
const STEPS: f64 = 1e4;

fn rounded(resources: Resources) -> Resources {
    // Adding zero makes a negative zero a positive one.
    let round = |amount: f64| (amount * STEPS).round() / STEPS + 0.0;
    Resources {
        cpus: round(resources.cpus),
        gpus: round(resources.gpus),
        memory_gb: round(resources.memory_gb),
    }
}

impl CapacityLevel {
    pub fn new(available: Resources, soft: Resources, fetches: usize) -> Self {
        Self {
            available: rounded(available),
            soft: rounded(soft),
            fetches,
        }
    }

    pub fn available(self) -> Resources {
        self.available
    }

    /// The least level at which this room may be free.
    fn least(resources: Resources) -> Self {
        Self {
            available: Resources {
                cpus: f64::NEG_INFINITY,
                gpus: resources.gpus - 1.0 / STEPS,
                memory_gb: f64::NEG_INFINITY,
            },
            soft: Resources::default(),
            fetches: 0,
        }
    }

    fn numbers(&self) -> [f64; 6] {
        let (available, soft) = (self.available, self.soft);
        [
            available.gpus,
            available.cpus,
            available.memory_gb,
            soft.gpus,
            soft.cpus,
            soft.memory_gb,
        ]
    }
}

/// By accelerators first: what has too few of them is passed over as a whole.
impl Ord for CapacityLevel {
    fn cmp(&self, other: &Self) -> Ordering {
        let pairs = self.numbers().into_iter().zip(other.numbers());
        let mut orders = pairs.map(|(a, b)| a.total_cmp(&b));
        let differs = orders.find(|order| order.is_ne());
        differs.unwrap_or_else(|| self.fetches.cmp(&other.fetches))
    }
}

impl PartialOrd for CapacityLevel {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for CapacityLevel {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for CapacityLevel {}

/// A machine as it is entered.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub group: Group,
    pub level: CapacityLevel,
    /// In its cache, sorted.
    pub images: Vec<Image>,
}

/// Machines by group and level.
type Shelf = BTreeMap<Group, BTreeMap<CapacityLevel, BTreeSet<MachineId>>>;

fn put(shelf: &mut Shelf, machine_id: &MachineId, group: &Group, level: CapacityLevel) {
    if !shelf.contains_key(group) {
        shelf.insert(group.clone(), BTreeMap::new());
    }
    if let Some(levels) = shelf.get_mut(group) {
        levels.entry(level).or_default().insert(machine_id.clone());
    }
}

fn take(shelf: &mut Shelf, machine_id: &MachineId, group: &Group, level: CapacityLevel) {
    let Some(levels) = shelf.get_mut(group) else {
        return;
    };
    if let Some(machine_ids) = levels.get_mut(&level) {
        machine_ids.remove(machine_id);
        if machine_ids.is_empty() {
            levels.remove(&level);
        }
    }
    if levels.is_empty() {
        shelf.remove(group);
    }
}

/// Machines of one group and one level.
#[derive(Clone, Copy, Debug)]
pub struct MachineClass<'a> {
    pub group: &'a Group,
    pub level: CapacityLevel,
    pub machine_ids: &'a BTreeSet<MachineId>,
}

/// Which machines a look-up is about.
#[derive(Clone, Copy, Debug)]
pub enum ImageFilter<'a> {
    /// Those with this image in their cache.
    Image(&'a Image),
    Any,
}

/// Machines that can take tasks.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    entries: HashMap<MachineId, Entry>,
    all: Shelf,
    with_image: HashMap<Image, Shelf>,
}

impl CapacityIndex {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All machines, in no order.
    pub fn machine_ids(&self) -> impl Iterator<Item = &MachineId> {
        self.entries.keys()
    }

    /// All that is entered.
    pub fn entries(&self) -> impl Iterator<Item = (&MachineId, &Entry)> {
        self.entries.iter()
    }

    /// Whether a machine is entered at this level, with so many images, in such a shard.
    pub fn stands(
        &self,
        machine_id: &MachineId,
        own: bool,
        shard: &ShardId,
        level: CapacityLevel,
        images: usize,
    ) -> bool {
        let entry = self.entries.get(machine_id);
        entry.is_some_and(|entry| {
            entry.group.own == own
                && entry.group.shard == *shard
                && entry.level == level
                && entry.images.len() == images
        })
    }

    /// Enters a machine, or what has changed of it.
    pub fn update(&mut self, machine_id: &MachineId, entry: Entry) {
        if self.entries.get(machine_id) == Some(&entry) {
            return;
        }
        self.remove(machine_id);
        let (group, level) = (&entry.group, entry.level);
        put(&mut self.all, machine_id, group, level);
        for image in &entry.images {
            let shelf = self.with_image.entry(image.clone()).or_default();
            put(shelf, machine_id, group, level);
        }
        self.entries.insert(machine_id.clone(), entry);
    }

    /// A machine can take no tasks any more.
    pub fn remove(&mut self, machine_id: &MachineId) {
        let Some(entry) = self.entries.remove(machine_id) else {
            return;
        };
        take(&mut self.all, machine_id, &entry.group, entry.level);
        for image in &entry.images {
            if let Some(shelf) = self.with_image.get_mut(image) {
                take(shelf, machine_id, &entry.group, entry.level);
                if shelf.is_empty() {
                    self.with_image.remove(image);
                }
            }
        }
    }

    fn shelf(&self, having: ImageFilter) -> Option<&Shelf> {
        match having {
            ImageFilter::Image(image) => self.with_image.get(image),
            ImageFilter::Any => Some(&self.all),
        }
    }

    /// The groups that have machines.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.all.keys()
    }

    /// Classes of a group in which this room is free, the fullest first.
    pub fn fitting<'a>(
        &'a self,
        having: ImageFilter,
        group: &'a Group,
        resources: Resources,
    ) -> impl Iterator<Item = MachineClass<'a>> + use<'a> {
        let levels = self.shelf(having).and_then(|shelf| shelf.get(group));
        let from = (
            Bound::Included(CapacityLevel::least(resources)),
            Bound::Unbounded,
        );
        let levels = levels
            .into_iter()
            .flat_map(move |levels| levels.range(from));
        let fitting = levels.filter(move |(level, _)| resources.fits_in(level.available));
        fitting.map(move |(level, machine_ids)| MachineClass {
            group,
            level: *level,
            machine_ids,
        })
    }

    /// Whether a group has a machine on which this room is not free.
    pub fn any_too_full(&self, group: &Group, resources: Resources) -> bool {
        let levels = self.all.get(group);
        let mut levels = levels.into_iter().flat_map(|levels| levels.keys());
        levels.any(|level| !resources.fits_in(level.available))
    }

    /// Classes of a group in which this room is not free, those with most free first.
    pub fn too_full<'a>(
        &'a self,
        group: &'a Group,
        resources: Resources,
    ) -> impl Iterator<Item = MachineClass<'a>> + use<'a> {
        let levels = self.all.get(group).into_iter();
        let levels = levels.flat_map(|levels| levels.iter().rev());
        let full = levels.filter(move |(level, _)| !resources.fits_in(level.available));
        full.map(move |(level, machine_ids)| MachineClass {
            group,
            level: *level,
            machine_ids,
        })
    }
}

#[cfg(test)]
mod tests;
