//! The index of free room: machines that can take tasks, by shard, type and kind, by what is free on each, and
//! by image. Kept as things change, so that a cycle visits machines that fit instead of the whole fleet.
//!
//! Machines of one class look alike to a cycle, but for the images in their caches: those that have a job's
//! image are found by a second index. What the index says is a shortlist; whoever uses it asks the machine.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use rustc_hash::FxHashMap as HashMap;

use crate::types::{Image, MachineId, MachineTypeId, Room, ShardId, Zone};

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
pub struct Level {
    free: Room,
    /// Taken by work that gives way.
    soft: Room,
    /// Images that are being fetched.
    fetches: usize,
}

/// Amounts are rounded to this part of one: sums that differ in their last bits are one level.
const STEPS: f64 = 1e4;

fn rounded(room: Room) -> Room {
    // Adding zero makes a negative zero a positive one.
    let round = |amount: f64| (amount * STEPS).round() / STEPS + 0.0;
    Room {
        cpus: round(room.cpus),
        gpus: round(room.gpus),
        memory_gb: round(room.memory_gb),
    }
}

impl Level {
    pub fn new(free: Room, soft: Room, fetches: usize) -> Self {
        Self {
            free: rounded(free),
            soft: rounded(soft),
            fetches,
        }
    }

    pub fn free(self) -> Room {
        self.free
    }

    /// The least level at which this room may be free.
    fn least(room: Room) -> Self {
        Self {
            free: Room {
                cpus: f64::NEG_INFINITY,
                gpus: room.gpus - 1.0 / STEPS,
                memory_gb: f64::NEG_INFINITY,
            },
            soft: Room::default(),
            fetches: 0,
        }
    }

    fn numbers(&self) -> [f64; 6] {
        let (free, soft) = (self.free, self.soft);
        [
            free.gpus,
            free.cpus,
            free.memory_gb,
            soft.gpus,
            soft.cpus,
            soft.memory_gb,
        ]
    }
}

/// By accelerators first: what has too few of them is passed over as a whole.
impl Ord for Level {
    fn cmp(&self, other: &Self) -> Ordering {
        let pairs = self.numbers().into_iter().zip(other.numbers());
        let mut orders = pairs.map(|(a, b)| a.total_cmp(&b));
        let differs = orders.find(|order| order.is_ne());
        differs.unwrap_or_else(|| self.fetches.cmp(&other.fetches))
    }
}

impl PartialOrd for Level {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Level {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Level {}

/// A machine as it is entered.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub group: Group,
    pub level: Level,
    /// In its cache, sorted.
    pub images: Vec<Image>,
}

/// Machines by group and level.
type Shelf = BTreeMap<Group, BTreeMap<Level, BTreeSet<MachineId>>>;

fn put(shelf: &mut Shelf, machine_id: &MachineId, group: &Group, level: Level) {
    if !shelf.contains_key(group) {
        shelf.insert(group.clone(), BTreeMap::new());
    }
    if let Some(levels) = shelf.get_mut(group) {
        levels.entry(level).or_default().insert(machine_id.clone());
    }
}

fn take(shelf: &mut Shelf, machine_id: &MachineId, group: &Group, level: Level) {
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
pub struct Class<'a> {
    pub group: &'a Group,
    pub level: Level,
    pub machine_ids: &'a BTreeSet<MachineId>,
}

/// Which machines a look-up is about.
#[derive(Clone, Copy, Debug)]
pub enum Having<'a> {
    /// Those with this image in their cache.
    Image(&'a Image),
    Any,
}

/// Machines that can take tasks.
#[derive(Debug, Default)]
pub struct FreeRoom {
    entries: HashMap<MachineId, Entry>,
    all: Shelf,
    with_image: HashMap<Image, Shelf>,
}

impl FreeRoom {
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
        level: Level,
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

    fn shelf(&self, having: Having) -> Option<&Shelf> {
        match having {
            Having::Image(image) => self.with_image.get(image),
            Having::Any => Some(&self.all),
        }
    }

    /// The groups that have machines.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.all.keys()
    }

    /// Classes of a group in which this room is free, the fullest first.
    pub fn fitting<'a>(
        &'a self,
        having: Having,
        group: &'a Group,
        room: Room,
    ) -> impl Iterator<Item = Class<'a>> + use<'a> {
        let levels = self.shelf(having).and_then(|shelf| shelf.get(group));
        let from = (Bound::Included(Level::least(room)), Bound::Unbounded);
        let levels = levels
            .into_iter()
            .flat_map(move |levels| levels.range(from));
        let fitting = levels.filter(move |(level, _)| room.fits_in(level.free));
        fitting.map(move |(level, machine_ids)| Class {
            group,
            level: *level,
            machine_ids,
        })
    }

    /// Whether a group has a machine on which this room is not free.
    pub fn any_too_full(&self, group: &Group, room: Room) -> bool {
        let levels = self.all.get(group);
        let mut levels = levels.into_iter().flat_map(|levels| levels.keys());
        levels.any(|level| !room.fits_in(level.free))
    }

    /// Classes of a group in which this room is not free, those with most free first.
    pub fn too_full<'a>(
        &'a self,
        group: &'a Group,
        room: Room,
    ) -> impl Iterator<Item = Class<'a>> + use<'a> {
        let levels = self.all.get(group).into_iter();
        let levels = levels.flat_map(|levels| levels.iter().rev());
        let full = levels.filter(move |(level, _)| !room.fits_in(level.free));
        full.map(move |(level, machine_ids)| Class {
            group,
            level: *level,
            machine_ids,
        })
    }
}

#[cfg(test)]
mod tests;
