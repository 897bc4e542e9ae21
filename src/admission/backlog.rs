//! Jobs whose noted changes wait to be written, by lane, and within a lane by class.
//!
//! What waits here is not a finished transaction: a job's changes are written as they stand when
//! its turn comes, so what comes meanwhile goes along at no cost.

use std::collections::{BTreeMap, BTreeSet};

use admission_control::floors::Floors;
use admission_control::slots::Slot;
use rustc_hash::FxHashMap as HashMap;

use crate::types::{JobId, Millis};

/// What a job's changes are, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// The last end of a job: its user waits to hear that it is over.
    Completions,
    /// Starts, and what has to be written before a task can start again.
    Places,
    /// Ends of some of a job's tasks. Their room is free already, so these wait best.
    Gathered,
}

const LANES: [Lane; 3] = [Lane::Completions, Lane::Places, Lane::Gathered];

/// Of what is written, the part that goes by the lanes' floors.
const LANE_FLOORS: f64 = 0.9;
/// Of what a lane writes, the part that goes by the floors of classes.
const CLASS_FLOORS: f64 = 0.5;

fn lane_weight(lane: &Lane) -> f64 {
    match lane {
        Lane::Completions => 0.35,
        Lane::Places => 0.5,
        Lane::Gathered => 0.15,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    lane: Lane,
    at: Millis,
    class: Slot,
}

#[derive(Debug, Default)]
struct Waiting {
    classes: BTreeMap<Slot, BTreeSet<(Millis, JobId)>>,
}

impl Waiting {
    /// Each class whose first job's turn has come, with that job's time.
    fn due(&self, now: Millis) -> impl Iterator<Item = (Slot, Millis)> {
        let firsts = self.classes.iter().filter_map(|(class, jobs)| {
            let (at, _) = jobs.first()?;
            Some((*class, *at))
        });
        firsts.filter(move |(_, at)| *at <= now)
    }
}

#[derive(Debug)]
pub struct Backlog {
    lanes: [Waiting; 3],
    jobs: HashMap<JobId, Turn>,
    /// Transactions under way.
    pub under_way: usize,
    lane_floors: Floors<Lane>,
    class_floors: [Floors<Slot>; 3],
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            lanes: Default::default(),
            jobs: HashMap::default(),
            under_way: 0,
            lane_floors: Floors::weighted(LANE_FLOORS, lane_weight),
            class_floors: [0; 3].map(|_| Floors::equal(CLASS_FLOORS)),
        }
    }
}

impl Backlog {
    /// Sets a job's turn, unless it has one in a more urgent lane or earlier in the same.
    pub fn add(&mut self, id: &JobId, lane: Lane, class: Slot, at: Millis) {
        let turn = Turn { lane, at, class };
        match self.jobs.get(id) {
            Some(known) if *known <= turn => return,
            Some(_) => {
                self.remove(id);
            }
            None => {}
        }
        let classes = &mut self.lanes[lane as usize].classes;
        classes.entry(class).or_default().insert((at, id.clone()));
        self.jobs.insert(id.clone(), turn);
    }

    fn remove(&mut self, id: &JobId) -> Option<Turn> {
        let turn = self.jobs.remove(id)?;
        let classes = &mut self.lanes[turn.lane as usize].classes;
        if let Some(jobs) = classes.get_mut(&turn.class) {
            jobs.remove(&(turn.at, id.clone()));
            if jobs.is_empty() {
                classes.remove(&turn.class);
            }
        }
        Some(turn)
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.under_way == 0
    }

    /// How many jobs wait to be written in a lane.
    pub fn waiting(&self, lane: Lane) -> usize {
        let classes = self.lanes[lane as usize].classes.values();
        classes.map(BTreeSet::len).sum()
    }

    /// The jobs that wait to have starts written.
    pub fn placing(&self) -> Vec<JobId> {
        let classes = self.lanes[Lane::Places as usize].classes.values();
        classes.flatten().map(|(_, id)| id.clone()).collect()
    }

    /// How many should have been written by now.
    pub fn overdue(&self, now: Millis) -> usize {
        LANES.map(|lane| self.overdue_in(lane, now)).iter().sum()
    }

    /// The same in one lane.
    pub fn overdue_in(&self, lane: Lane, now: Millis) -> usize {
        let classes = self.lanes[lane as usize].classes.values();
        let due =
            |jobs: &BTreeSet<(Millis, JobId)>| jobs.iter().take_while(|(at, _)| *at <= now).count();
        classes.map(due).sum()
    }

    /// Takes the job whose turn it is.
    pub fn next(&mut self, now: Millis) -> Option<JobId> {
        let due = |lane: &Lane| self.lanes[*lane as usize].due(now).next().is_some();
        let waiting: Vec<Lane> = LANES.into_iter().filter(due).collect();
        let lane = self.lane_floors.next(waiting.iter().map(|l| (*l, *l)))?;
        self.lane_floors.served(&lane, 1.0, waiting);
        let (jobs, floors) = (
            &self.lanes[lane as usize],
            &mut self.class_floors[lane as usize],
        );
        let class = floors.next(jobs.due(now))?;
        floors.served(&class, 1.0, jobs.due(now).map(|(class, _)| class));
        let (_, id) = jobs.classes.get(&class)?.first()?.clone();
        self.remove(&id);
        Some(id)
    }
}

#[cfg(test)]
mod tests;
