//! The pending queue in three parts: active, back-off and unschedulable.
//!
//! The tasks of one job are alike, so one entry stands for all of a job's waiting tasks; a cycle
//! still takes one task.

use std::collections::{BTreeMap, BTreeSet};

use admission_control::floors::Floors;
use admission_control::slots::Slot;
use rand::Rng;
use rustc_hash::FxHashMap as HashMap;

use crate::admission::Flow;
use crate::jobs::PriorityClass;
use crate::types::{JobId, MachineId, Millis, Team};

/// A check that can reject a task, remembered so that only it judges whether an event helps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Check {
    /// Type, zone and kind of machine.
    Machine,
    /// Free room.
    Resources,
    /// One zone, or the spread over zones.
    Zones,
    /// The team's limit.
    Team,
    /// The shard's share of the team's limit.
    ShardQuota,
    /// The rest of an old attempt.
    Attempt,
}

/// What a job waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Its turn: nothing else stands in the way.
    Turn,
    Backoff {
        until: Millis,
    },
    /// Every machine was rejected by one of these.
    Rejected {
        checks: BTreeSet<Check>,
    },
    /// What was decided of it has to be written, or its fate to become known.
    Writing,
    /// Tasks of an attempt, or of a try, that have to leave their machines first.
    Leaving,
}

/// A change in the cluster that may help a parked task.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterEvent {
    /// A machine came, or became fit for tasks.
    Machine(MachineId),
    /// Room came free on a machine.
    Freed(MachineId),
    /// A task of this job left its machine.
    TaskLeft(JobId),
    /// The team uses less.
    TeamFreed(Team),
    /// Shares of the teams' limits were dealt anew.
    QuotaReallocated,
    /// Another tree of quotas is in force.
    NewTree,
    /// The tree of quotas entitles the team to more than before.
    Entitled(Team),
}

/// Who goes first: work within its team's guarantee, then priority, then age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    pub beyond_guarantee: bool,
    pub priority: std::cmp::Reverse<PriorityClass>,
    pub born: Millis,
    pub flow: Flow,
}

impl QueueKey {
    /// Without age.
    pub fn class(&self) -> (bool, std::cmp::Reverse<PriorityClass>) {
        (self.beyond_guarantee, self.priority)
    }
}

/// Of the cycles that lead to a change while changes are short, the part that goes by the floors of
/// classes, and within a class by those of its teams.
const FLOORS: f64 = 0.5;

#[derive(Clone, Debug)]
enum Place {
    Active(QueueKey),
    Backoff {
        until: Millis,
    },
    Parked {
        checks: BTreeSet<Check>,
        since: Millis,
        until: Millis,
    },
}

#[derive(Clone, Debug)]
struct Entry {
    place: Place,
    fails: u32,
    order: QueueKey,
}

pub struct Queue {
    first: Millis,
    most: Millis,
    flush: Millis,
    entries: HashMap<JobId, Entry>,
    active: Active,
    backoff: BTreeMap<(Millis, JobId), ()>,
    class_floors: Floors<Slot>,
    team_floors: BTreeMap<Slot, Floors<Slot>>,
}

type Active = BTreeMap<Flow, BTreeSet<(QueueKey, JobId)>>;

fn activate(active: &mut Active, order: &QueueKey, job: &JobId) {
    let jobs = active.entry(order.flow).or_default();
    jobs.insert((*order, job.clone()));
}

fn deactivate(active: &mut Active, order: &QueueKey, job: &JobId) {
    if let Some(jobs) = active.get_mut(&order.flow) {
        jobs.remove(&(*order, job.clone()));
        if jobs.is_empty() {
            active.remove(&order.flow);
        }
    }
}

impl Default for Queue {
    fn default() -> Self {
        Self::new(Millis(0), Millis(0), Millis(0))
    }
}

impl Queue {
    pub fn new(first: Millis, most: Millis, flush: Millis) -> Self {
        Self {
            first,
            most,
            flush,
            entries: HashMap::default(),
            active: BTreeMap::new(),
            backoff: BTreeMap::new(),
            class_floors: Floors::equal(FLOORS),
            team_floors: BTreeMap::new(),
        }
    }

    /// What a queued job waits for.
    pub fn waits_for(&self, job: &JobId) -> Option<WaitReason> {
        let entry = self.entries.get(job)?;
        Some(match &entry.place {
            Place::Active(_) => WaitReason::Turn,
            Place::Backoff { until } => WaitReason::Backoff { until: *until },
            Place::Parked { checks, .. } => WaitReason::Rejected {
                checks: checks.clone(),
            },
        })
    }

    pub fn contains(&self, job: &JobId) -> bool {
        self.entries.contains_key(job)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn detach(&mut self, job: &JobId) -> Option<Entry> {
        let entry = self.entries.remove(job)?;
        match &entry.place {
            Place::Active(order) => deactivate(&mut self.active, order, job),
            Place::Backoff { until } => {
                self.backoff.remove(&(*until, job.clone()));
            }
            Place::Parked { .. } => {}
        }
        Some(entry)
    }

    fn attach(&mut self, job: JobId, place: Place, fails: u32, order: QueueKey) {
        match &place {
            Place::Active(order) => activate(&mut self.active, order, &job),
            Place::Backoff { until } => {
                self.backoff.insert((*until, job.clone()), ());
            }
            Place::Parked { .. } => {}
        }
        self.entries.insert(
            job,
            Entry {
                place,
                fails,
                order,
            },
        );
    }

    /// Makes a job active; one that is queued already keeps its place.
    pub fn push(&mut self, job: &JobId, order: QueueKey) {
        if !self.contains(job) {
            self.attach(job.clone(), Place::Active(order), 0, order);
        }
    }

    /// Makes a job active whatever part it was in.
    pub fn activate(&mut self, job: &JobId, order: QueueKey) {
        let fails = self.detach(job).map_or(0, |entry| entry.fails);
        self.attach(job.clone(), Place::Active(order), fails, order);
    }

    /// Puts every job where its present order belongs: what a team is entitled to has changed.
    pub fn reorder(&mut self, order: impl Fn(&JobId) -> Option<QueueKey>) {
        for (job, entry) in &mut self.entries {
            let Some(order) = order(job).filter(|order| *order != entry.order) else {
                continue;
            };
            entry.order = order;
            if let Place::Active(old) = &mut entry.place {
                deactivate(&mut self.active, old, job);
                *old = order;
                activate(&mut self.active, &order, job);
            }
        }
    }

    pub fn remove(&mut self, job: &JobId) {
        self.detach(job);
    }

    /// Takes the first active job. It leaves the queue; `fail` or `push` bring it back.
    pub fn pop(&mut self) -> Option<(JobId, u32)> {
        let firsts = self.active.values().filter_map(BTreeSet::first);
        let (_, job) = firsts.min()?.clone();
        self.take(job)
    }

    fn take(&mut self, job: JobId) -> Option<(JobId, u32)> {
        let fails = self.detach(&job)?.fails;
        Some((job, fails))
    }

    /// Takes this job if it is active.
    pub fn pop_job(&mut self, job: &JobId) -> Option<(JobId, u32)> {
        let active = matches!(self.entries.get(job)?.place, Place::Active(_));
        active.then(|| self.take(job.clone()))?
    }

    /// Takes the first active job of the class and team that is furthest behind its floor; where
    /// none is behind, the first of all.
    pub fn pop_fair(&mut self) -> Option<(JobId, u32)> {
        let class = self.class_floors.next(self.firsts())?;
        let teams = self.teams(class);
        let team = match self.team_floors.get(&class) {
            Some(floors) => floors.next(teams)?,
            None => teams.min_by_key(|(_, order)| *order)?.0,
        };
        let (_, job) = self.active.get(&Flow { class, team })?.first()?.clone();
        self.take(job)
    }

    /// Each class that has active jobs, with the order of its first.
    fn firsts(&self) -> BTreeMap<Slot, QueueKey> {
        let mut firsts: BTreeMap<Slot, QueueKey> = BTreeMap::new();
        for (flow, jobs) in &self.active {
            if let Some((order, _)) = jobs.first() {
                let first = firsts.entry(flow.class).or_insert(*order);
                *first = (*first).min(*order);
            }
        }
        firsts
    }

    /// The teams that have active jobs of a class, each with the order of its first.
    fn teams(&self, class: Slot) -> impl Iterator<Item = (Slot, QueueKey)> {
        let flow = |team| Flow { class, team };
        let range = self.active.range(flow(Slot::MIN)..=flow(Slot::MAX));
        range.filter_map(|(flow, jobs)| Some((flow.team, jobs.first()?.0)))
    }

    /// A cycle that was taken by floors led to a change.
    pub fn served(&mut self, flow: Flow) {
        let mut classes: BTreeSet<Slot> = self.firsts().into_keys().collect();
        classes.insert(flow.class);
        self.class_floors.served(&flow.class, 1.0, classes);
        let mut teams: BTreeSet<Slot> = self.teams(flow.class).map(|(team, _)| team).collect();
        teams.insert(flow.team);
        let floors = self.team_floors.entry(flow.class);
        let floors = floors.or_insert_with(|| Floors::equal(FLOORS));
        floors.served(&flow.team, 1.0, teams);
    }

    /// The order of the first active job.
    pub fn first(&self) -> Option<QueueKey> {
        let firsts = self.active.values().filter_map(BTreeSet::first);
        firsts.map(|(order, _)| *order).min()
    }

    fn wait(&self, fails: u32, rng: &mut impl Rng) -> Millis {
        let doubled = self
            .first
            .0
            .saturating_mul(1 << fails.saturating_sub(1).min(20));
        let wait = doubled.min(self.most.0);
        Millis(wait + rng.random_range(0..=wait / 10))
    }

    /// After a failed try. With `checks`, every machine was rejected by one of them and the job
    /// waits for an event; without, it only waits.
    pub fn fail(
        &mut self,
        job: &JobId,
        fails: u32,
        checks: BTreeSet<Check>,
        order: QueueKey,
        now: Millis,
        rng: &mut impl Rng,
    ) {
        self.detach(job);
        let fails = fails + 1;
        let until = now + self.wait(fails, rng);
        let place = if checks.is_empty() {
            Place::Backoff { until }
        } else {
            let since = now;
            Place::Parked {
                checks,
                since,
                until,
            }
        };
        self.attach(job.clone(), place, fails, order);
    }

    /// Nothing of the job is tried before then.
    pub fn hold(&mut self, job: &JobId, order: QueueKey, until: Millis) {
        let fails = self.detach(job).map_or(0, |entry| entry.fails);
        self.attach(job.clone(), Place::Backoff { until }, fails, order);
    }

    /// Parks a job for which room is being made: as soon as it is, the job is active. Its wait is
    /// no failure, so there is no back-off to sit out.
    pub fn expect_room(&mut self, job: &JobId, fails: u32, order: QueueKey, now: Millis) {
        self.detach(job);
        let place = Place::Parked {
            checks: BTreeSet::from([Check::Resources]),
            since: now,
            until: now,
        };
        self.attach(job.clone(), place, fails + 1, order);
    }

    /// Asks the rejecting checks of each parked job whether the event helps.
    pub fn wake(&mut self, now: Millis, mut helps: impl FnMut(&JobId, Check) -> bool) {
        let woken: Vec<(JobId, Millis)> = self
            .entries
            .iter()
            .filter_map(|(job, entry)| match &entry.place {
                Place::Parked { checks, until, .. }
                    if checks.iter().any(|check| helps(job, *check)) =>
                {
                    Some((job.clone(), *until))
                }
                _ => None,
            })
            .collect();
        for (job, until) in woken {
            self.leave_parking(&job, until, now);
        }
    }

    fn leave_parking(&mut self, job: &JobId, until: Millis, now: Millis) {
        if let Some(entry) = self.detach(job) {
            let place = if until > now {
                Place::Backoff { until }
            } else {
                Place::Active(entry.order)
            };
            self.attach(job.clone(), place, entry.fails, entry.order);
        }
    }

    /// Moves on what has waited long enough.
    pub fn tick(&mut self, now: Millis) {
        while let Some((until, job)) = self.backoff.keys().next().cloned() {
            if until > now {
                break;
            }
            if let Some(entry) = self.detach(&job) {
                let place = Place::Active(entry.order);
                self.attach(job, place, entry.fails, entry.order);
            }
        }
        let flush = self.flush;
        let flushed: Vec<(JobId, Millis)> = self
            .entries
            .iter()
            .filter_map(|(job, entry)| match &entry.place {
                Place::Parked { since, until, .. } if now.since(*since) >= flush => {
                    Some((job.clone(), *until))
                }
                _ => None,
            })
            .collect();
        for (job, until) in flushed {
            self.leave_parking(&job, until, now);
        }
    }

    /// Lengths of the three parts, for the log.
    pub fn lengths(&self) -> (usize, usize, usize) {
        let active = self.active.values().map(BTreeSet::len).sum();
        let backoff = self.backoff.len();
        (active, backoff, self.entries.len() - active - backoff)
    }
}

#[cfg(test)]
mod tests;
