//! What one transaction for a job writes: its pending changes, as far as the records still allow
//! them.
//!
//! The records may change while changes wait in the backlog, so each change is checked again just
//! before it is written. A change that no longer fits the records is stale and is discarded.

use std::collections::BTreeMap;

use super::Controller;
use crate::jobs::cache::{Evidence, Job, TaskChange};
use crate::jobs::{Phase, Placement, Task};
use crate::lease::Tenure;
use crate::types::{FencingToken, Resources, ShardId};

/// Maximum number of pages in one transaction: with 8 KiB each they stay below 64 KiB.
const MAX_PAGES: usize = 6;
/// Operations of a transaction that are not pages: the job's record, the leader, the quota tree and
/// the allocation of a shard.
const RESERVED_OPS: usize = 4;

/// The changes of one transaction, and the conditions that it needs.
#[derive(Debug, Default)]
pub(super) struct PlannedWrite {
    /// Shards whose token must be unchanged, in the order of the changes; a shard may repeat.
    pub(super) shard_tokens: Vec<(ShardId, FencingToken)>,
    /// The new contents of pages, by number.
    pub(super) pages: BTreeMap<u32, Vec<Task>>,
    /// The changes that are written, by task.
    pub(super) changes: Vec<(u32, TaskChange)>,
    /// Tasks whose pending change no longer fits the records.
    pub(super) stale: Vec<u32>,
    /// How many placements were pending, by their outcome.
    pub(super) placements: PlacementCounts,
    /// Whether the changes show that a gang is done.
    pub(super) completes_gang: bool,
}

/// Counts of the placements among a job's pending changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PlacementCounts {
    /// Placements that the transaction writes.
    pub(super) planned: u32,
    /// Those of `planned` in shards that another controller holds; only the leader makes them.
    pub(super) in_other_shards: u32,
    /// Placements that no longer fit the records.
    pub(super) stale: u32,
}

/// A change that the records allow.
struct AllowedChange {
    /// The new record of the task.
    next: Task,
    /// The shard and its token that the change is conditioned on, if any.
    shard_token: Option<(ShardId, FencingToken)>,
}

impl PlannedWrite {
    /// Whether a page is part of this transaction, or can be added to it. `max_ops`: the number of
    /// operations that the store accepts in a transaction.
    fn can_include_page(&self, page: u32, max_ops: usize) -> bool {
        let max_pages = MAX_PAGES.min(max_ops.saturating_sub(RESERVED_OPS));
        self.pages.contains_key(&page) || self.pages.len() < max_pages
    }

    /// Adds an allowed change of the task at `index` to the transaction.
    fn add(&mut self, job: &Job, index: u32, change: &TaskChange, allowed: AllowedChange) {
        self.shard_tokens.extend(allowed.shard_token);
        let page = index / job.record.page_size;
        let tasks = self
            .pages
            .entry(page)
            .or_insert_with(|| job.page_tasks(page));
        if let Some(slot) = tasks.get_mut((index % job.record.page_size) as usize) {
            *slot = allowed.next;
        }
        self.changes.push((index, change.clone()));
    }

    /// Adds the first page to a transaction that places tasks of a job with a zone constraint and
    /// several pages. That page is the record on which the controllers agree about the zones:
    /// concurrent placements by two of them conflict on it.
    pub(super) fn require_zone_page(&mut self, job: &Job) {
        let has_zone_constraint =
            (job.spec.one_zone || job.spec.spread) && job.record.page_count() > 1;
        if self.placements.planned > 0 && has_zone_constraint && !self.pages.contains_key(&0) {
            self.pages.insert(0, job.page_tasks(0));
        }
    }

    /// How many tasks the transaction places in each shard, in the order of the changes.
    pub(super) fn placements_by_shard(&self) -> Vec<(ShardId, u32)> {
        let mut shards: Vec<(ShardId, u32)> = Vec::new();
        for (_, change) in &self.changes {
            let TaskChange::Place(placement) = change else {
                continue;
            };
            match shards.iter_mut().find(|(s, _)| *s == placement.shard) {
                Some((_, tasks)) => *tasks += 1,
                None => shards.push((placement.shard.clone(), 1)),
            }
        }
        shards
    }

    /// The final phase of the job, if no task of it remains after this transaction.
    /// `all_placements_known`: whether the cache shows every task that was placed before a
    /// cancellation.
    pub(super) fn final_phase(&self, job: &Job, all_placements_known: bool) -> Option<Phase> {
        if self.completes_gang {
            return Some(Phase::Done);
        }
        let finished = self.changes.iter().filter(|(_, c)| c.finishes()).count() as u32;
        if job.is_active() {
            return (job.done + finished == job.record.tasks).then_some(Phase::Done);
        }
        let none_left = job.placed as usize == self.changes.len();
        (none_left && all_placements_known).then_some(Phase::Aborted)
    }
}

impl Controller {
    /// Checks a job's pending changes against the records, in order of their tasks, until a
    /// transaction is full.
    pub(super) fn plan_write(&self, job: &Job) -> PlannedWrite {
        let max_ops = self.settings.deployment.state.txn_ops;
        let mut planned = PlannedWrite::default();
        for (index, change) in &job.pending_changes {
            if !planned.can_include_page(index / job.record.page_size, max_ops) {
                break;
            }
            let is_placement = matches!(change, TaskChange::Place(_));
            let Some(allowed) = self.check_change(job, *index, change) else {
                planned.stale.push(*index);
                planned.placements.stale += u32::from(is_placement);
                continue;
            };
            if let Some((shard, _)) = allowed.shard_token.as_ref().filter(|_| is_placement) {
                let held = self.membership.leases.held_token(shard, &self.me).is_some();
                planned.placements.in_other_shards += u32::from(!held);
            }
            planned.placements.planned += u32::from(is_placement);
            planned.add(job, *index, change, allowed);
        }
        planned
    }

    /// The transaction that records a gang as done, if one of its tasks is. The tasks of a gang complete
    /// together, so one completion proves that all tasks of its attempt are done, including those whose
    /// departure from their machine was not observed. One transaction ends the gang, whatever its size:
    /// no other controller sees it done in part. Its conditions are those of the one completion, since
    /// no task is placed in a later attempt as long as the completed one is placed in this one.
    pub(super) fn plan_gang_completion(&self, job: &Job) -> Option<PlannedWrite> {
        if !job.is_multi_task_gang() || !job.is_active() {
            return None;
        }
        let changes = job.pending_changes.iter();
        let mut finishes = changes.filter(|(_, change)| change.finishes());
        let (index, change, allowed) = finishes.find_map(|(index, change)| {
            let allowed = self.check_change(job, *index, change)?;
            Some((*index, change, allowed))
        })?;
        let finished = job.task(index).placement()?.attempt;
        if finished != job.highest_attempt() {
            return None;
        }
        let mut planned = PlannedWrite {
            completes_gang: true,
            ..PlannedWrite::default()
        };
        planned.add(job, index, change, allowed);
        Some(planned)
    }

    /// Checks one change against the records; `None` if it is stale.
    fn check_change(&self, job: &Job, index: u32, change: &TaskChange) -> Option<AllowedChange> {
        match (change, job.task(index)) {
            (TaskChange::Place(placement), Task::Waiting { last_attempt })
                if job.is_active()
                    && *last_attempt < placement.attempt
                    && job.may_place_in(placement.attempt) =>
            {
                self.check_placement(placement)
            }
            (TaskChange::Release { attempt, evidence }, Task::Placed(placement))
                if placement.attempt == *attempt =>
            {
                self.check_release(placement, *evidence)
            }
            (TaskChange::Finish { attempt }, Task::Placed(placement))
                if placement.attempt == *attempt =>
            {
                let token = self.known_token(&placement.shard)?;
                Some(AllowedChange {
                    next: Task::Done,
                    shard_token: Some((placement.shard.clone(), token)),
                })
            }
            _ => None,
        }
    }

    /// A placement needs a machine that still has the resources: another task may have been placed
    /// there since this one was reserved. It also needs a shard whose token is unchanged when the
    /// placement is written. The leader also places in shards of other holders, which then start
    /// the task.
    fn check_placement(&self, placement: &Placement) -> Option<AllowedChange> {
        let machine = self.machines.get(&placement.machine_id)?;
        let still_fits = machine.agent_epoch == placement.agent_epoch
            && Resources::default().fits_in(self.available(machine));
        if !still_fits {
            return None;
        }
        let held = self
            .membership
            .leases
            .held_token(&placement.shard, &self.me);
        let token = held.or_else(|| {
            self.leading()?;
            self.known_token(&placement.shard)
        })?;
        Some(AllowedChange {
            next: Task::Placed(placement.clone()),
            shard_token: Some((placement.shard.clone(), token)),
        })
    }

    /// A holder's evidence is valid only during its tenure; the deletion of a machine is final.
    fn check_release(&self, placement: &Placement, evidence: Evidence) -> Option<AllowedChange> {
        let shard_token = match evidence {
            Evidence::Deleted => None,
            Evidence::Holder(observed_under) => {
                let tenure = self.known_tenure(&placement.shard)?;
                if !tenure.covers(observed_under) {
                    return None;
                }
                Some((placement.shard.clone(), tenure.token))
            }
        };
        let last_attempt = placement.attempt;
        Some(AllowedChange {
            next: Task::Waiting { last_attempt },
            shard_token,
        })
    }

    /// The token under which a shard is held, by this controller or another.
    pub(super) fn known_token(&self, shard: &ShardId) -> Option<FencingToken> {
        let tenure = self.known_tenure(shard)?;
        Some(tenure.token)
    }

    /// The tokens under which a shard's holder, this controller or another, has held it.
    pub(super) fn known_tenure(&self, shard: &ShardId) -> Option<Tenure> {
        let shards = &self.membership.leases.shards;
        shards.get(shard).map(|holder| holder.tenure)
    }
}
