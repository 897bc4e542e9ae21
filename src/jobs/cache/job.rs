//! One unfinished job in the cache: its records, and its changes that the records don't show yet.

use std::collections::BTreeMap;

use super::change::{CommitState, TaskChange};
use super::gang::{Attempts, GangPlacement};
use crate::jobs::api::{JobStage, JobState};
use crate::jobs::record::JobRecord;
use crate::jobs::{JobKind, JobSpec, Phase, Placement, Task};
use crate::types::{Attempt, JobId, MachineId, Millis, Revision, Zone};

/// A page of tasks as last read.
#[derive(Debug)]
pub(super) struct Page {
    /// The version of its record.
    pub(super) version: Revision,
    /// Its tasks, in order.
    pub(super) tasks: Vec<Task>,
    /// How many of the tasks are waiting.
    waiting: usize,
    /// The attempts of the tasks.
    attempts: Attempts,
}

impl Page {
    /// A page with these tasks.
    pub(super) fn new(version: Revision, tasks: Vec<Task>) -> Self {
        let is_waiting = |task: &&Task| matches!(task, Task::Waiting { .. });
        let waiting = tasks.iter().filter(is_waiting).count();
        let attempts = Attempts::of(&tasks);
        Self {
            version,
            tasks,
            waiting,
            attempts,
        }
    }
}

/// A job that is not finished, or whose tasks may still be on machines.
#[derive(Debug)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// The version of its record.
    pub version: Revision,
    /// Its record.
    pub record: JobRecord,
    /// The validated submission, as in its record.
    pub spec: JobSpec,
    /// When this controller first saw its record.
    pub first_seen: Millis,
    /// When its records last changed which tasks are placed, or else when the job was first seen.
    pub last_placement_change: Millis,
    /// Pages that exist, by number. A task of a page that does not exist was never placed.
    pub(super) pages: BTreeMap<u32, Page>,
    /// How many tasks its records place on machines.
    pub placed: u32,
    /// How many tasks its records say are done.
    pub done: u32,
    /// How far it is placed, if it is a gang of several tasks.
    gang_placement: GangPlacement,
    /// Changes of tasks that are not in the records yet, by task.
    pub pending_changes: BTreeMap<u32, TaskChange>,
    /// Tasks that are known to have left their machines while the records still place them there, with
    /// the machine. The machine's resources are available, but the tasks count for the team and zones.
    pub(super) departed: BTreeMap<u32, MachineId>,
    /// Whether a transaction with its changes is in flight.
    pub commit_state: CommitState,
}

impl Job {
    /// A job without any pages. `now`: when its record arrived.
    pub(super) fn new(
        id: JobId,
        version: Revision,
        record: JobRecord,
        spec: JobSpec,
        now: Millis,
    ) -> Self {
        Self {
            id,
            version,
            record,
            spec,
            first_seen: now,
            last_placement_change: now,
            pages: BTreeMap::new(),
            placed: 0,
            done: 0,
            gang_placement: GangPlacement::None,
            pending_changes: BTreeMap::new(),
            departed: BTreeMap::new(),
            commit_state: CommitState::Idle,
        }
    }

    /// Whether the job is neither done nor cancelled, so that its tasks may be placed.
    pub fn is_active(&self) -> bool {
        self.record.phase == Phase::Active
    }

    /// The state of a task in the records.
    pub fn task(&self, index: u32) -> &Task {
        self.pages
            .get(&(index / self.record.page_size))
            .and_then(|page| page.tasks.get((index % self.record.page_size) as usize))
            .unwrap_or(&Task::NEVER_PLACED)
    }

    /// The version of a page; zero if it does not exist.
    pub fn page_version(&self, page: u32) -> Revision {
        self.pages.get(&page).map(|p| p.version).unwrap_or_default()
    }

    /// The tasks of a page, whether it exists or not.
    pub fn page_tasks(&self, page: u32) -> Vec<Task> {
        match self.pages.get(&page) {
            Some(page) => page.tasks.clone(),
            None => vec![Task::NEVER_PLACED; self.record.page_len(page) as usize],
        }
    }

    /// Number of tasks that are on no machine, not done and not about to be placed.
    pub fn waiting_tasks(&self) -> u32 {
        let placing = self.pending_placements().count() as u32;
        self.record
            .tasks
            .saturating_sub(self.placed + self.done + placing)
    }

    /// The first `max` tasks that could be placed now, each with its last attempt. Pages without any
    /// are skipped as a whole, since a job may have 100,000 tasks and each cycle asks for the next one.
    pub fn next_waiting(&self, max: usize) -> Vec<(u32, Attempt)> {
        let mut found = Vec::new();
        for page in 0..self.record.page_count() {
            let first = page * self.record.page_size;
            let content = self.pages.get(&page);
            if content.is_some_and(|content| content.waiting == 0) {
                continue;
            }
            for offset in 0..self.record.page_len(page) {
                if found.len() >= max {
                    return found;
                }
                let task = content.and_then(|content| content.tasks.get(offset as usize));
                if let Task::Waiting { last_attempt } = task.unwrap_or(&Task::NEVER_PLACED)
                    && !self.pending_changes.contains_key(&(first + offset))
                {
                    found.push((first + offset, *last_attempt));
                }
            }
        }
        found
    }

    /// The highest attempt of any task of the job that is not done.
    pub fn highest_attempt(&self) -> Attempt {
        self.pages
            .values()
            .flat_map(|page| &page.tasks)
            .map(|task| match task {
                Task::Waiting { last_attempt } => *last_attempt,
                Task::Placed(placement) => placement.attempt,
                Task::Done => Attempt(0),
            })
            .max()
            .unwrap_or_default()
    }

    /// Where the records place tasks of the job, by task.
    pub fn placements(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.pages.iter().flat_map(move |(page, content)| {
            let first = page * self.record.page_size;
            content
                .tasks
                .iter()
                .enumerate()
                .filter_map(move |(i, task)| Some((first + i as u32, task.placement()?)))
        })
    }

    /// The placements among the pending changes.
    pub(super) fn pending_placements(&self) -> impl Iterator<Item = &Placement> {
        self.pending_changes
            .values()
            .filter_map(|change| match change {
                TaskChange::Place(placement) => Some(placement),
                _ => None,
            })
    }

    /// Tasks per zone, those about to be placed included.
    pub fn tasks_per_zone(&self) -> BTreeMap<Zone, u32> {
        let mut zones = BTreeMap::new();
        let written = self.placements().map(|(_, placement)| placement);
        for placement in written.chain(self.pending_placements()) {
            *zones.entry(placement.shard.zone.clone()).or_insert(0) += 1;
        }
        zones
    }

    /// Whether the zones of the job's tasks, those about to be placed included, comply with `one_zone`
    /// and `spread`.
    pub fn satisfies_zone_constraints(&self) -> bool {
        let spec = &self.spec;
        if !spec.one_zone && !spec.spread {
            return true;
        }
        let zones = self.tasks_per_zone();
        (!spec.one_zone || zones.len() <= 1)
            && (!spec.spread
                || zones
                    .values()
                    .all(|tasks| *tasks <= spec.max_tasks_per_zone()))
    }

    /// Whether this is a gang of several tasks, which are placed and complete together.
    pub fn is_multi_task_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang && self.record.tasks > 1
    }

    /// How far the tasks of a gang of several tasks are placed.
    pub fn gang_placement(&self) -> GangPlacement {
        self.gang_placement
    }

    /// Determines how far a gang is placed, after its pages have changed.
    pub(super) fn update_gang_placement(&mut self) {
        if self.is_multi_task_gang() {
            let pages = self.pages.values();
            let attempts = pages.fold(Attempts::default(), |sum, page| sum.and(&page.attempts));
            let none_waiting = self.placed + self.done >= self.record.tasks;
            self.gang_placement = attempts.gang_placement(none_waiting);
        }
    }

    /// Whether a task of the job may be placed in this attempt; only the tasks of a gang of several tasks depend on
    /// each other's.
    pub fn may_place_in(&self, attempt: Attempt) -> bool {
        match self.gang_placement {
            GangPlacement::None => true,
            GangPlacement::Incomplete(placed) => placed == attempt,
            GangPlacement::Complete | GangPlacement::Broken => false,
        }
    }

    /// Whether the records show that a gang is done: its tasks complete together, so that one done task proves it.
    pub fn is_completed_gang(&self) -> bool {
        self.is_active() && self.is_multi_task_gang() && self.done > 0
    }

    /// Whether this is a gang of which some tasks are placed and others are not.
    pub fn is_partially_placed_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
            && self.placed > 0
            && self.placed + self.done < self.record.tasks
    }

    /// The state in responses to users.
    pub fn state(&self) -> JobState {
        let running = match self.gang_placement {
            // Its tasks start once all of them are placed.
            GangPlacement::Incomplete(_) => 0,
            _ => self.placed,
        };
        let stage = match self.record.phase {
            Phase::Done => JobStage::Done,
            Phase::Aborted => JobStage::Aborted,
            Phase::Active | Phase::Aborting if running > 0 => JobStage::Running,
            Phase::Active | Phase::Aborting => JobStage::Queued,
        };
        JobState {
            id: self.id.clone(),
            stage,
            done: self.done,
            running,
        }
    }
}

/// A job that is over and has no task on any machine. Only how it ended is kept.
#[derive(Clone, Copy, Debug)]
pub(super) struct FinishedJob {
    /// How the job ended.
    pub(super) phase: Phase,
    /// How many tasks it had.
    pub(super) tasks: u32,
    /// The version of its record.
    pub(super) version: Revision,
}

impl FinishedJob {
    /// The state in responses to users; `id`: the job's id.
    pub(super) fn state(&self, id: &JobId) -> JobState {
        let stage = match self.phase {
            Phase::Aborted => JobStage::Aborted,
            _ => JobStage::Done,
        };
        let done = if self.phase == Phase::Done {
            self.tasks
        } else {
            0
        };
        JobState {
            id: id.clone(),
            stage,
            done,
            running: 0,
        }
    }
}
