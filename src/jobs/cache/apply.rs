//! Applies records of the store to the cache.
//!
//! Records come from the watch, from snapshot reads and from this controller's own commits, so the
//! same version may arrive twice, an older one after a newer one, and a page before its job.

use std::collections::BTreeMap;

use super::JobCache;
use super::job::{FinishedJob, Job, Page};
use super::machine_usage::Allocation;
use super::usage_index::UsageIndex;
use crate::jobs::record::{JOB_KEY_PREFIX, JobRecord, decode_page, parse_page_key};
use crate::jobs::{JobSpec, Placement, Task};
use crate::types::{JobId, MachineId, Millis, Resources, Revision, Team};

/// The effects of an applied record.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RecordChange {
    /// The job, unless the record had no effect.
    pub job: Option<JobId>,
    /// Machines that lost a task, once for each task.
    pub freed: Vec<MachineId>,
    /// The team whose usage fell, if any.
    pub team: Option<Team>,
    /// Machines that gained a task, once for each task.
    pub allocated: Vec<MachineId>,
}

impl RecordChange {
    fn of(id: &JobId) -> Self {
        Self {
            job: Some(id.clone()),
            ..Self::default()
        }
    }
}

impl JobCache {
    /// Applies a record of the store; `None`: the key was deleted.
    pub fn apply(
        &mut self,
        key: &str,
        data: Option<&str>,
        version: Revision,
        now: Millis,
    ) -> RecordChange {
        if let Some(id) = key.strip_prefix(JOB_KEY_PREFIX) {
            // Job records are never deleted, so that the outcome of a job stays known.
            return match data {
                Some(text) => self.apply_job(&id.into(), text, version, now),
                None => RecordChange::default(),
            };
        }
        let changed = match (parse_page_key(key), data) {
            (Some((id, page)), Some(text)) => self.apply_page(&id, page, text, version),
            (Some((id, page)), None) => self.delete_page(&id, page, version),
            (None, _) => RecordChange::default(),
        };
        if let Some(id) = changed.job.as_ref()
            && !(changed.allocated.is_empty() && changed.freed.is_empty())
            && let Some(job) = self.jobs.get_mut(id)
        {
            job.last_placement_change = now;
        }
        changed
    }

    fn apply_job(
        &mut self,
        id: &JobId,
        text: &str,
        version: Revision,
        now: Millis,
    ) -> RecordChange {
        let record: JobRecord = match serde_json::from_str(text) {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(job = %id, %error, "ignoring invalid job record");
                return RecordChange::default();
            }
        };
        // The response to a transaction of this controller may arrive after the watch has delivered a
        // newer version.
        if self.known_version(id).is_some_and(|known| known >= version) {
            return RecordChange::default();
        }
        let Some(spec) = record.spec.clone() else {
            let changed = self.remove_job(id);
            let finished = FinishedJob {
                phase: record.phase,
                tasks: record.tasks,
                version,
            };
            self.finished.insert(id.clone(), finished);
            return changed;
        };
        match self.jobs.get_mut(id) {
            Some(job) => {
                job.version = version;
                job.record = record;
            }
            None => {
                let job = Job::new(id.clone(), version, record, spec, now);
                self.jobs.insert(id.clone(), job);
                for (page, (version, text)) in self.early_pages.remove(id).unwrap_or_default() {
                    self.apply_page(id, page, &text, version);
                }
            }
        }
        RecordChange::of(id)
    }

    fn known_version(&self, id: &JobId) -> Option<Revision> {
        let unfinished = self.jobs.get(id).map(|job| job.version);
        unfinished.or(self.finished.get(id).map(|finished| finished.version))
    }

    /// Removes a job that is over, and frees the resources that it still held.
    fn remove_job(&mut self, id: &JobId) -> RecordChange {
        let mut changed = RecordChange::of(id);
        let pages: Vec<u32> = self
            .get(id)
            .map(|job| job.pages.keys().copied().collect())
            .unwrap_or_default();
        for page in pages {
            let removed = self.set_page(id, page, None);
            changed.freed.extend(removed.freed);
            changed.team = changed.team.or(removed.team);
            self.obsolete_pages.insert((id.clone(), page));
        }
        self.discard_all_changes(id);
        self.jobs.remove(id);
        self.early_pages.remove(id);
        changed
    }

    fn apply_page(&mut self, id: &JobId, page: u32, text: &str, version: Revision) -> RecordChange {
        let Some(job) = self.jobs.get(id) else {
            if self.finished.contains_key(id) {
                self.obsolete_pages.insert((id.clone(), page));
            } else {
                let pages = self.early_pages.entry(id.clone()).or_default();
                pages.insert(page, (version, text.to_string()));
            }
            return RecordChange::default();
        };
        if job.page_version(page) >= version {
            return RecordChange::default();
        }
        match decode_page(text, job.record.page_len(page)) {
            Some(tasks) => self.set_page(id, page, Some(Page::new(version, tasks))),
            None => {
                tracing::error!(job = %id, page, "ignoring invalid task page");
                RecordChange::default()
            }
        }
    }

    fn delete_page(&mut self, id: &JobId, page: u32, version: Revision) -> RecordChange {
        if let Some(pages) = self.early_pages.get_mut(id) {
            pages.remove(&page);
        }
        self.obsolete_pages.remove(&(id.clone(), page));
        match self.jobs.get(id) {
            Some(job) if job.page_version(page) < version => self.set_page(id, page, None),
            _ => RecordChange::default(),
        }
    }

    /// Replaces or removes a page, and updates the usage index.
    fn set_page(&mut self, id: &JobId, page: u32, content: Option<Page>) -> RecordChange {
        let Some(job) = self.jobs.get_mut(id) else {
            return RecordChange::default();
        };
        let old = match content {
            Some(content) => job.pages.insert(page, content),
            None => job.pages.remove(&page),
        };
        let old = old.map(|page| page.tasks).unwrap_or_default();
        let new = job.pages.get(&page);
        let new = new.map(|page| page.tasks.as_slice()).unwrap_or_default();
        let first = page * job.record.page_size;
        let mut update = PageUpdate {
            id,
            spec: &job.spec,
            placed: &mut job.placed,
            done: &mut job.done,
            departed: &mut job.departed,
            usage: &mut self.usage,
            changed: RecordChange::of(id),
            committed_usage: Resources::default(),
            departed_usage: Resources::default(),
        };
        for index in 0..old.len().max(new.len()) {
            let before = old.get(index).unwrap_or(&Task::NEVER_PLACED);
            let after = new.get(index).unwrap_or(&Task::NEVER_PLACED);
            if before != after {
                update.remove(first + index as u32, before);
                update.add(first + index as u32, after);
            }
        }
        let changed = update.finish();
        job.update_gang_placement();
        changed
    }
}

/// The replacement of a page, task by task. The team's sums are updated once, at the end.
struct PageUpdate<'a> {
    id: &'a JobId,
    spec: &'a JobSpec,
    /// The job's counts and departed tasks, as in [`Job`].
    placed: &'a mut u32,
    done: &'a mut u32,
    departed: &'a mut BTreeMap<u32, MachineId>,
    usage: &'a mut UsageIndex,
    changed: RecordChange,
    /// By how much the usage of placed tasks changes.
    committed_usage: Resources,
    /// By how much the usage of departed tasks changes.
    departed_usage: Resources,
}

impl PageUpdate<'_> {
    fn remove(&mut self, index: u32, task: &Task) {
        match task {
            Task::Placed(placement) => self.remove_placement(index, placement),
            Task::Done => *self.done -= 1,
            Task::Waiting { .. } => {}
        }
    }

    fn remove_placement(&mut self, index: u32, placement: &Placement) {
        let (spec, machine_id) = (self.spec, &placement.machine_id);
        *self.placed -= 1;
        self.committed_usage = self.committed_usage.minus(spec.resources);
        if self.departed.remove(&index).is_some() {
            // Its resources on the machine were freed when it was seen to have left.
            self.departed_usage = self.departed_usage.minus(spec.resources);
        } else {
            let machines = &mut self.usage.machines;
            machines.free(machine_id, spec, Allocation::Committed);
        }
        let task = (self.id.clone(), index);
        self.usage.remove_placement(spec, placement, &task);
        self.changed.freed.push(machine_id.clone());
        self.changed.team.get_or_insert_with(|| spec.team.clone());
    }

    fn add(&mut self, index: u32, task: &Task) {
        match task {
            Task::Placed(placement) => self.add_placement(index, placement),
            Task::Done => *self.done += 1,
            Task::Waiting { .. } => {}
        }
    }

    fn add_placement(&mut self, index: u32, placement: &Placement) {
        *self.placed += 1;
        self.committed_usage = self.committed_usage.plus(self.spec.resources);
        let task = (self.id.clone(), index);
        self.usage.add_placement(self.spec, placement, task);
        self.changed.allocated.push(placement.machine_id.clone());
    }

    fn finish(self) -> RecordChange {
        let teams = &mut self.usage.teams;
        if self.committed_usage != Resources::default() {
            teams.add_committed(self.spec, self.committed_usage);
        }
        if self.departed_usage != Resources::default() {
            teams.add_departed(self.spec, self.departed_usage);
        }
        self.changed
    }
}
