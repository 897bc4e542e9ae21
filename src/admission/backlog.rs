//! Jobs whose noted changes wait to be written, by lane, and within a lane by class.
//!
//! The backlog holds jobs, not finished transactions: a transaction is built from a job's changes only
//! when the job's turn comes, so changes that are noted meanwhile are included at no extra cost.

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

/// The fraction of the writes that the lanes' floors divide; the rest goes to the most urgent lane.
const LANE_FLOORS: f64 = 0.9;
/// The fraction of a lane's writes that the floors of classes divide; the rest goes by due time.
const CLASS_FLOORS: f64 = 0.5;

/// The weight of a lane among the lanes' floors.
fn lane_weight(lane: &Lane) -> f64 {
    match lane {
        Lane::Completions => 0.35,
        Lane::Placements => 0.5,
        Lane::PartialCompletions => 0.15,
    }
}

/// Where a job waits. The least is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
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

    fn insert(&mut self, id: JobId, turn: Turn) {
        let jobs = self.classes.entry(turn.class).or_default();
        jobs.insert((turn.due, id));
    }

    fn remove(&mut self, id: &JobId, turn: Turn) {
        if let Some(jobs) = self.classes.get_mut(&turn.class) {
            jobs.remove(&(turn.due, id.clone()));
            if jobs.is_empty() {
                self.classes.remove(&turn.class);
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
    turns: HashMap<JobId, Turn>,
    /// Job transactions in flight.
    pub in_flight: usize,
    lane_floors: Floors<Lane>,
    class_floors: [Floors<Slot>; LANE_COUNT],
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            lanes: Default::default(),
            turns: HashMap::default(),
            in_flight: 0,
            lane_floors: Floors::weighted(LANE_FLOORS, lane_weight),
            class_floors: std::array::from_fn(|_| Floors::equal(CLASS_FLOORS)),
        }
    }
}

impl Backlog {
    /// Queues a job in a lane until it is due, unless it already waits in a more urgent lane, or is
    /// due earlier in the same lane.
    pub fn add(&mut self, id: &JobId, lane: Lane, class: Slot, due: Millis) {
        let turn = Turn { lane, due, class };
        match self.turns.get(id) {
            Some(known) if *known <= turn => return,
            Some(_) => {
                self.remove(id);
            }
            None => {}
        }
        self.lanes[lane as usize].insert(id.clone(), turn);
        self.turns.insert(id.clone(), turn);
    }

    fn remove(&mut self, id: &JobId) -> Option<Turn> {
        let turn = self.turns.remove(id)?;
        self.lanes[turn.lane as usize].remove(id, turn);
        Some(turn)
    }

    /// Whether no job waits and none is being written.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty() && self.in_flight == 0
    }

    /// How many jobs wait in a lane.
    pub fn waiting(&self, lane: Lane) -> usize {
        self.lanes[lane as usize].len()
    }

    /// The jobs that wait to have placements written.
    pub fn placing(&self) -> Vec<JobId> {
        let classes = self.lanes[Lane::Placements as usize].classes.values();
        classes.flatten().map(|(_, id)| id.clone()).collect()
    }

    /// How many jobs should have been written by now.
    pub fn overdue(&self, now: Millis) -> usize {
        LANES.map(|lane| self.overdue_in(lane, now)).iter().sum()
    }

    /// The same in one lane.
    pub fn overdue_in(&self, lane: Lane, now: Millis) -> usize {
        self.lanes[lane as usize].overdue(now)
    }

    /// Removes and returns the job that is to be written next, if one is due.
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
