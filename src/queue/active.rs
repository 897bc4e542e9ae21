//! The active part of the queue: jobs that may be tried at once, in order.
//!
//! Usually the least key goes first. While write capacity of the store is scarce, half of the cycles
//! are assigned by floors (guaranteed minimum rates) instead, so that a burst of urgent jobs of one
//! class or team does not starve the others.

use std::collections::{BTreeMap, BTreeSet};

use admission_control::floors::Floors;
use admission_control::slots::Slot;

use super::key::QueueKey;
use crate::admission::Flow;
use crate::types::JobId;

/// Fraction of the cycles, while write capacity is scarce, that is assigned by the floors of classes
/// and, within a class, by those of its teams. The other half follows the queue's order.
const FLOOR_SHARE: f64 = 0.5;

/// Active jobs by flow, with the floors that track how much each class and team was served.
pub(super) struct ActiveJobs {
    by_flow: BTreeMap<Flow, BTreeSet<(QueueKey, JobId)>>,
    class_floors: Floors<Slot>,
    team_floors: BTreeMap<Slot, Floors<Slot>>,
}

impl ActiveJobs {
    /// No active jobs.
    pub(super) fn new() -> Self {
        Self {
            by_flow: BTreeMap::new(),
            class_floors: Floors::equal(FLOOR_SHARE),
            team_floors: BTreeMap::new(),
        }
    }

    /// Adds a job under its key.
    pub(super) fn insert(&mut self, key: &QueueKey, job: &JobId) {
        let jobs = self.by_flow.entry(key.flow).or_default();
        jobs.insert((*key, job.clone()));
    }

    /// Removes a job; `key` must be the key it was added under.
    pub(super) fn remove(&mut self, key: &QueueKey, job: &JobId) {
        if let Some(jobs) = self.by_flow.get_mut(&key.flow) {
            jobs.remove(&(*key, job.clone()));
            if jobs.is_empty() {
                self.by_flow.remove(&key.flow);
            }
        }
    }

    /// The job with the least key.
    pub(super) fn first(&self) -> Option<&(QueueKey, JobId)> {
        self.by_flow.values().filter_map(BTreeSet::first).min()
    }

    /// The first job of the class and team that are furthest behind their floors; where none is
    /// behind, the first of all.
    pub(super) fn first_by_floors(&self) -> Option<&JobId> {
        let class = self.class_floors.next(self.first_key_by_class())?;
        let teams = self.first_key_by_team(class);
        let team = match self.team_floors.get(&class) {
            Some(floors) => floors.next(teams)?,
            None => teams.min_by_key(|(_, key)| *key)?.0,
        };
        let (_, job) = self.by_flow.get(&Flow { class, team })?.first()?;
        Some(job)
    }

    /// Charges a flow for one cycle that was assigned by floors.
    pub(super) fn record_served(&mut self, flow: Flow) {
        let mut classes: BTreeSet<Slot> = self.first_key_by_class().into_keys().collect();
        classes.insert(flow.class);
        self.class_floors.record_served(&flow.class, 1.0, classes);
        let mut teams: BTreeSet<Slot> = self
            .first_key_by_team(flow.class)
            .map(|(team, _)| team)
            .collect();
        teams.insert(flow.team);
        let floors = self.team_floors.entry(flow.class);
        let floors = floors.or_insert_with(|| Floors::equal(FLOOR_SHARE));
        floors.record_served(&flow.team, 1.0, teams);
    }

    /// Each class that has active jobs, with the least key of any of them.
    fn first_key_by_class(&self) -> BTreeMap<Slot, QueueKey> {
        let mut least: BTreeMap<Slot, QueueKey> = BTreeMap::new();
        for (flow, jobs) in &self.by_flow {
            if let Some((key, _)) = jobs.first() {
                let class_least = least.entry(flow.class).or_insert(*key);
                *class_least = (*class_least).min(*key);
            }
        }
        least
    }

    /// The teams that have active jobs of a class, each with the least key of any of them.
    fn first_key_by_team(&self, class: Slot) -> impl Iterator<Item = (Slot, QueueKey)> {
        let flow = |team| Flow { class, team };
        self.by_flow
            .range(flow(Slot::MIN)..=flow(Slot::MAX))
            .filter_map(|(flow, jobs)| Some((flow.team, jobs.first()?.0)))
    }
}
