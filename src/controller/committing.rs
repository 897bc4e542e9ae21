//! How changes of tasks reach the state service: one transaction at a time per job, conditioned
//! on all that the decision rested on.

use std::collections::{BTreeMap, BTreeSet};

use super::{After, Controller, Purpose};
use crate::jobs::cache::{Change, Evidence, Writing};
use crate::jobs::record::{JobRecord, encode_page, job_key, page_key};
use crate::jobs::{Phase, Task};
use crate::lease::block_key;
use crate::quota;
use crate::store::{Answer, Class, Txn};
use crate::types::{HostId, JobId, Revision};

/// Pages of one transaction: with 8 KiB each they stay below 64 KiB.
const MOST_PAGES: usize = 6;

impl Controller {
    /// Writes a job's noted changes, if none are on their way.
    pub(super) fn commit(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.writing != Writing::Idle || job.changes.is_empty() {
            return;
        }
        let ops = self.settings.deployment.state.txn_ops;
        let mut txn = Txn::default();
        txn.require(job_key(id), job.version);
        let mut pages: BTreeMap<u32, Vec<Task>> = BTreeMap::new();
        let mut changes = Vec::new();
        let mut stale = Vec::new();
        let mut places = false;
        // Zones of a job in many pages are agreed on through its first page.
        let tied = (job.spec.one_zone || job.spec.spread) && job.record.pages() > 1;
        for (index, change) in &job.changes {
            let page = index / job.record.page;
            if !pages.contains_key(&page) && pages.len() >= MOST_PAGES.min(ops.saturating_sub(4)) {
                break;
            }
            let task = job.task(*index);
            let held = |block| self.leases.holds(block, &self.me);
            let (next, block) = match (change, task) {
                (Change::Place(placement), Task::Waiting { .. }) if job.active() => {
                    places = true;
                    (Task::Placed(placement.clone()), Some(&placement.block))
                }
                (Change::Release { evidence }, Task::Placed(placement)) => {
                    let tried = placement.attempt;
                    let block = (*evidence == Evidence::Holder).then_some(&placement.block);
                    (Task::Waiting { tried }, block)
                }
                (Change::Finish, Task::Placed(placement)) => (Task::Done, Some(&placement.block)),
                _ => {
                    stale.push(*index);
                    continue;
                }
            };
            if let Some(block) = block {
                let Some(token) = held(block) else {
                    stale.push(*index);
                    continue;
                };
                // No higher token may exist when this is written.
                txn.require(block_key(block), Revision(token.0));
            }
            let tasks = pages.entry(page).or_insert_with(|| job.page_tasks(page));
            if let Some(slot) = tasks.get_mut((index % job.record.page) as usize) {
                *slot = next;
            }
            changes.push((*index, change.clone()));
        }
        if places && tied && !pages.contains_key(&0) {
            pages.insert(0, job.page_tasks(0));
        }
        if places
            && let Some(team) = self.settings.team(&job.spec.team)
            && team.limited()
        {
            let key = quota::team_key(&team.name);
            txn.require(
                key.clone(),
                self.teams.get(&team.name).copied().unwrap_or_default(),
            );
            txn.put(key, format!("\"{}\"", self.me));
        }
        for page in pages.keys() {
            txn.require(page_key(id, *page), job.page_version(*page));
        }
        let finished = changes.iter().filter(|(_, c)| *c == Change::Finish).count() as u32;
        let complete = job.active() && job.done + finished == job.record.tasks;
        let kept: Vec<u32> = job.page_keys().collect();
        if complete {
            let over = pages.len().max(kept.len()) <= ops / 2;
            let record = JobRecord {
                phase: Phase::Done,
                spec: (!over).then(|| job.spec.clone()),
                ..job.record.clone()
            };
            txn.put(
                job_key(id),
                serde_json::to_string(&record).unwrap_or_default(),
            );
            if over {
                pages.clear();
                for page in kept {
                    txn.drop_key(page_key(id, page));
                }
            }
        }
        for (page, tasks) in pages {
            txn.put(page_key(id, page), encode_page(&tasks));
        }
        self.jobs.discard(id, &stale);
        if changes.is_empty() {
            return;
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::InFlight;
        }
        let job = id.clone();
        self.transact(Class::Jobs, txn, Purpose::Changes { job, changes });
    }

    pub(super) fn on_changes(&mut self, id: JobId, changes: Vec<(u32, Change)>, answer: Answer) {
        let indices: Vec<u32> = changes.iter().map(|(index, _)| *index).collect();
        match answer {
            Answer::Committed(_) => {
                for (index, change) in &changes {
                    tracing::debug!(job = %id, index, ?change, "committed");
                }
                self.jobs.discard(&id, &indices);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Idle;
                }
                self.commit(&id);
                self.consider(&id);
                let hosts: BTreeSet<HostId> = changes
                    .into_iter()
                    .filter_map(|(_, change)| match change {
                        Change::Place(placement) => Some(placement.host),
                        _ => None,
                    })
                    .collect();
                for host in hosts {
                    self.poke(&host);
                }
            }
            Answer::Conflict(revision) => {
                tracing::debug!(job = %id, "changes were overtaken");
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Settling(Some(revision));
                }
                let after = After::Settle { job: id };
                self.fresh.waiting.push((revision, after));
                self.proved();
            }
            Answer::Unknown => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.writing = Writing::Settling(None);
                }
                self.once_fresh(After::Settle { job: id });
            }
            _ => self.settle(&id),
        }
    }

    /// A transaction that did not plainly succeed is over, and the cache shows what came of it.
    /// All noted changes are dropped: the next reports and cycles bring back what still holds.
    pub(super) fn settle(&mut self, id: &JobId) {
        self.jobs.discard_changes(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::Idle;
            self.fail_later(id);
        }
    }

    /// Drops what is left of a job that is over once no task of it is anywhere.
    pub(super) fn clear(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.active() || job.placed > 0 || job.writing != Writing::Idle {
            return;
        }
        let ops = self.settings.deployment.state.txn_ops;
        let mut txn = Txn::default();
        txn.require(job_key(id), job.version);
        let pages: Vec<u32> = job.page_keys().collect();
        for page in pages.iter().take(ops - 1) {
            txn.require(page_key(id, *page), job.page_version(*page));
            txn.drop_key(page_key(id, *page));
        }
        if pages.len() < ops {
            let record = JobRecord {
                spec: None,
                ..job.record.clone()
            };
            txn.put(
                job_key(id),
                serde_json::to_string(&record).unwrap_or_default(),
            );
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.writing = Writing::InFlight;
        }
        self.transact(Class::Rest, txn, Purpose::Clear { job: id.clone() });
    }

    pub(super) fn on_cleared(&mut self, id: JobId, answer: Answer) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.writing = Writing::Idle;
        }
        if matches!(answer, Answer::Committed(_)) {
            self.clear(&id);
        }
    }
}
