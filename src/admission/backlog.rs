//! Jobs with changes that wait to be written to the store, by lane, and within a lane by class.
//!
//! The backlog holds jobs, not finished transactions: a transaction is built from a job's changes only
//! when the job is next, so changes that are made in the meantime are included at no extra cost.

use std::collections::{BTreeMap, BTreeSet};

use admission_control::floors::Floors;
use admission_control::slots::Slot;
use rustc_hash::FxHashMap as HashMap;

use crate::types::{JobId, Millis};

/// The kinds of a job's changes, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// The last completions of a job: its user waits for the response that it is finished.
    Completions,
    /// Placements, and changes that must be written before a task can be placed again.
    Placements,
    /// Completions of some of a job's tasks. Their resources are available already, so these can wait
    /// longest.
    PartialCompletions,
}

/// Number of lanes.
const LANE_COUNT: usize = 3;
/// All lanes, the most urgent first.
const LANES: [Lane; LANE_COUNT] = [
    Lane::Completions,
    Lane::Placements,
    Lane::PartialCompletions,
];

/// The fraction of the writes that the lanes' floors divide; the remainder goes to the most urgent
/// lane.
const LANE_FLOOR_SHARE: f64 = 0.9;
/// The fraction of a lane's writes that the floors of classes divide; the remainder goes by due time.
const CLASS_FLOOR_SHARE: f64 = 0.5;

/// The weight of a lane among the lanes' floors.
fn lane_weight(lane: &Lane) -> f64 {
    match lane {
        Lane::Completions => 0.35,
        Lane::Placements => 0.5,
        Lane::PartialCompletions => 0.15,
    }
}

/// Where a job waits. The order of the fields is the order of comparison; the least is the most
/// urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    lane: Lane,
    due: Millis,
    class: Slot,
}

/// Jobs by the time at which they are due.
type JobsByDueTime = BTreeSet<(Millis, JobId)>;

/// The jobs that wait in one lane.
#[derive(Debug, Default)]
struct LaneQueue {
    classes: BTreeMap<Slot, JobsByDueTime>,
}

impl LaneQueue {
    /// Each class with a job that is due, and since when its first one is.
    fn due_classes(&self, now: Millis) -> impl Iterator<Item = (Slot, Millis)> {
        let firsts = self.classes.iter().filter_map(|(class, jobs)| {
            let (due, _) = jobs.first()?;
            Some((*class, *due))
        });
        firsts.filter(move |(_, due)| *due <= now)
    }

    fn insert(&mut self, id: JobId, position: Position) {
        let jobs = self.classes.entry(position.class).or_default();
        jobs.insert((position.due, id));
    }

    fn remove(&mut self, id: &JobId, position: Position) {
        if let Some(jobs) = self.classes.get_mut(&position.class) {
            jobs.remove(&(position.due, id.clone()));
            if jobs.is_empty() {
                self.classes.remove(&position.class);
            }
        }
    }

    fn len(&self) -> usize {
        self.classes.values().map(BTreeSet::len).sum()
    }

    fn overdue(&self, now: Millis) -> usize {
        let overdue = |jobs: &JobsByDueTime| jobs.iter().take_while(|(due, _)| *due <= now).count();
        self.classes.values().map(overdue).sum()
    }
}

/// The jobs that wait to be written, and how many are being written.
#[derive(Debug)]
pub struct Backlog {
    lanes: [LaneQueue; LANE_COUNT],
    positions: HashMap<JobId, Position>,
    /// Job transactions in flight.
    pub in_flight: usize,
    lane_floors: Floors<Lane>,
    class_floors: [Floors<Slot>; LANE_COUNT],
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            lanes: Default::default(),
            positions: HashMap::default(),
            in_flight: 0,
            lane_floors: Floors::weighted(LANE_FLOOR_SHARE, lane_weight),
            class_floors: std::array::from_fn(|_| Floors::equal(CLASS_FLOOR_SHARE)),
        }
    }
}

impl Backlog {
    /// Adds a job to a lane, to be written from `due` on, unless it already waits in a more urgent
    /// lane or is due earlier in the same lane.
    pub fn add(&mut self, id: &JobId, lane: Lane, class: Slot, due: Millis) {
        let position = Position { lane, due, class };
        match self.positions.get(id) {
            Some(existing) if *existing <= position => return,
            Some(_) => {
                self.remove(id);
            }
            None => {}
        }
        self.lanes[lane as usize].insert(id.clone(), position);
        self.positions.insert(id.clone(), position);
    }

    fn remove(&mut self, id: &JobId) -> Option<Position> {
        let position = self.positions.remove(id)?;
        self.lanes[position.lane as usize].remove(id, position);
        Some(position)
    }

    /// Whether no job waits and none is being written.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty() && self.in_flight == 0
    }

    /// Number of jobs that wait in a lane, whether due or not.
    pub fn waiting(&self, lane: Lane) -> usize {
        self.lanes[lane as usize].len()
    }

    /// The jobs that wait in [`Lane::Placements`].
    pub fn jobs_in_placements_lane(&self) -> Vec<JobId> {
        let classes = self.lanes[Lane::Placements as usize].classes.values();
        classes.flatten().map(|(_, id)| id.clone()).collect()
    }

    /// Number of jobs that are due and not yet being written.
    pub fn overdue(&self, now: Millis) -> usize {
        LANES.map(|lane| self.overdue_in(lane, now)).iter().sum()
    }

    /// Number of jobs of one lane that are due and not yet being written.
    pub fn overdue_in(&self, lane: Lane, now: Millis) -> usize {
        self.lanes[lane as usize].overdue(now)
    }

    /// Removes and returns the job that is to be written next; `None` if no job is due.
    pub fn next(&mut self, now: Millis) -> Option<JobId> {
        let lane = self.next_lane(now)?;
        let queue = &self.lanes[lane as usize];
        let floors = &mut self.class_floors[lane as usize];
        let class = floors.next(queue.due_classes(now))?;
        let due_classes = queue.due_classes(now).map(|(class, _)| class);
        floors.record_served(&class, 1.0, due_classes);
        let (_, id) = queue.classes.get(&class)?.first()?.clone();
        self.remove(&id);
        Some(id)
    }

    fn next_lane(&mut self, now: Millis) -> Option<Lane> {
        let is_due = |lane: &Lane| {
            let queue = &self.lanes[*lane as usize];
            queue.due_classes(now).next().is_some()
        };
        let due: Vec<Lane> = LANES.into_iter().filter(is_due).collect();
        let lane = self
            .lane_floors
            .next(due.iter().map(|lane| (*lane, *lane)))?;
        self.lane_floors.record_served(&lane, 1.0, due);
        Some(lane)
    }
}

#[cfg(test)]
mod tests;
