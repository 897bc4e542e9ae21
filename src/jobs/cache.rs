//! The cache of all job records, fed by the watch and by this controller's own commits.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::{FxHashMap as HashMap, FxHashSet as HashSet};

use super::record::{JobRecord, decode_page, parse_page_key};
use super::{JobKind, JobSpec, Phase, Placement, PriorityClass, Task};
use crate::jobs::api::{JobStage, JobState};
use crate::types::{
    Attempt, FencingToken, JobId, MachineId, Millis, Resources, Revision, ShardId, Team, Zone,
};

/// What this controller wants the record of a task to say next. What is known of an attempt holds
/// for that attempt alone: by the time it is written, the task may be elsewhere with another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskChange {
    Place(Placement),
    /// The task is proven off the machine it was placed on, without being done.
    Release {
        attempt: Attempt,
        evidence: Evidence,
    },
    Finish {
        attempt: Attempt,
    },
}

impl TaskChange {
    pub fn finishes(&self) -> bool {
        matches!(self, TaskChange::Finish { .. })
    }
}

/// Why a task is known to be off its machine. Silence is none of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Seen by the holder of the machine's shard, under this token: under another, somebody else
    /// may have started the task since.
    Holder(FencingToken),
    /// The cloud answered that the machine is deleted.
    Deleted,
}

#[derive(Debug)]
pub struct Page {
    pub version: Revision,
    pub tasks: Vec<Task>,
    /// How many of them wait.
    waiting: usize,
}

impl Page {
    fn new(version: Revision, tasks: Vec<Task>) -> Self {
        let waits = |task: &&Task| matches!(task, Task::Waiting { .. });
        let waiting = tasks.iter().filter(waits).count();
        Self {
            version,
            tasks,
            waiting,
        }
    }
}

/// What becomes of this job's changes.
#[derive(Debug, PartialEq, Eq)]
pub enum Writing {
    Idle,
    InFlight,
    /// A transaction failed or went unanswered: nothing is tried before the cache is this new
    /// (none: before a revision read tells how new).
    Settling(Option<Revision>),
}

#[derive(Debug)]
pub struct Job {
    pub id: JobId,
    pub version: Revision,
    pub record: JobRecord,
    pub spec: JobSpec,
    pub born: Millis,
    /// When a task of it was last placed or taken off its machine.
    pub settled: Millis,
    pages: BTreeMap<u32, Page>,
    pub placed: u32,
    pub done: u32,
    pub changes: BTreeMap<u32, TaskChange>,
    /// Tasks that are known to have left their machines, though that is not written yet: their room
    /// is free, but they count for the team and for zones.
    left: BTreeMap<u32, MachineId>,
    pub writing: Writing,
}

impl Job {
    pub fn active(&self) -> bool {
        self.record.phase == Phase::Active
    }

    pub fn task(&self, index: u32) -> &Task {
        self.pages
            .get(&(index / self.record.page))
            .and_then(|page| page.tasks.get((index % self.record.page) as usize))
            .unwrap_or(&Task::FRESH)
    }

    pub fn page_version(&self, page: u32) -> Revision {
        self.pages.get(&page).map(|p| p.version).unwrap_or_default()
    }

    pub fn page_keys(&self) -> impl Iterator<Item = u32> + '_ {
        self.pages.keys().copied()
    }

    pub fn page_tasks(&self, page: u32) -> Vec<Task> {
        match self.pages.get(&page) {
            Some(page) => page.tasks.clone(),
            None => vec![Task::FRESH; self.record.page_len(page) as usize],
        }
    }

    /// Tasks that are on no machine, not done, and not about to be placed.
    pub fn waiting(&self) -> u32 {
        let placing = self
            .changes
            .values()
            .filter(|c| matches!(c, TaskChange::Place(_)))
            .count() as u32;
        self.record
            .tasks
            .saturating_sub(self.placed + self.done + placing)
    }

    /// The first tasks that could be placed now. Pages without any are passed over as a whole: a
    /// job may have 100,000 tasks, and each cycle asks for the next one.
    pub fn next_waiting(&self, most: usize) -> Vec<(u32, Attempt)> {
        let mut found = Vec::new();
        for page in 0..self.record.pages() {
            let first = page * self.record.page;
            let content = self.pages.get(&page);
            if content.is_some_and(|content| content.waiting == 0) {
                continue;
            }
            for offset in 0..self.record.page_len(page) {
                if found.len() >= most {
                    return found;
                }
                let task = content.and_then(|content| content.tasks.get(offset as usize));
                if let Task::Waiting { tried } = task.unwrap_or(&Task::FRESH)
                    && !self.changes.contains_key(&(first + offset))
                {
                    found.push((first + offset, *tried));
                }
            }
        }
        found
    }

    /// The highest attempt that any task of the job had.
    pub fn highest_attempt(&self) -> Attempt {
        self.pages
            .values()
            .flat_map(|page| &page.tasks)
            .map(|task| match task {
                Task::Waiting { tried } => *tried,
                Task::Placed(p) => p.attempt,
                Task::Done => Attempt(0),
            })
            .max()
            .unwrap_or_default()
    }

    pub fn placements(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.pages.iter().flat_map(move |(page, content)| {
            let first = page * self.record.page;
            content
                .tasks
                .iter()
                .enumerate()
                .filter_map(move |(i, task)| Some((first + i as u32, task.placement()?)))
        })
    }

    /// Tasks per zone, those about to be placed included.
    pub fn zones(&self) -> BTreeMap<Zone, u32> {
        let mut zones = BTreeMap::new();
        let placing = self.changes.values().filter_map(|change| match change {
            TaskChange::Place(placement) => Some(placement),
            _ => None,
        });
        for placement in self.placements().map(|(_, p)| p).chain(placing) {
            *zones.entry(placement.shard.zone.clone()).or_insert(0) += 1;
        }
        zones
    }

    /// Whether the job's tasks, those about to be placed included, are in zones that it allows.
    pub fn zones_allowed(&self) -> bool {
        let spec = &self.spec;
        if !spec.one_zone && !spec.spread {
            return true;
        }
        let zones = self.zones();
        (!spec.one_zone || zones.len() <= 1)
            && (!spec.spread || zones.values().all(|tasks| *tasks <= spec.zone_share()))
    }

    /// A gang of several tasks, which stands or falls as a whole.
    pub fn whole_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang && self.record.tasks > 1
    }

    /// A gang of which some tasks are placed and others not can't go on: what is left of the
    /// attempt has to go first.
    pub fn broken_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
            && self.placed > 0
            && self.placed + self.done < self.record.tasks
    }

    pub fn state(&self) -> JobState {
        let stage = match self.record.phase {
            Phase::Done => JobStage::Done,
            Phase::Aborted => JobStage::Aborted,
            Phase::Active | Phase::Aborting if self.placed > 0 => JobStage::Running,
            Phase::Active | Phase::Aborting => JobStage::Queued,
        };
        JobState {
            id: self.id.clone(),
            stage,
            done: self.done,
            running: self.placed,
        }
    }
}

/// A job that is over and of which nothing is left anywhere: only its end is remembered.
#[derive(Clone, Copy, Debug)]
pub struct FinishedJob {
    pub phase: Phase,
    pub tasks: u32,
    version: Revision,
}

/// What a fed record touched.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct RecordChange {
    pub job: Option<JobId>,
    /// Hosts that lost a task, and the team that uses less for it.
    pub freed: Vec<MachineId>,
    pub team: Option<Team>,
    /// Hosts that gained one.
    pub allocated: Vec<MachineId>,
}

/// What is taken of a machine. Kept as tasks come and go, so that looking at a machine costs the same
/// whatever is on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineUsage {
    /// By what the records place there and by what is reserved.
    pub allocated: Resources,
    /// By committed tasks that give way to urgent work.
    pub soft: Resources,
    /// By committed tasks of each priority, the lowest first.
    by_priority: [Resources; PRIORITY_CLASSES],
    tasks: u32,
    /// Committed tasks that do not give way.
    firm: u32,
}

/// How many priorities there are.
const PRIORITY_CLASSES: usize = 4;

impl MachineUsage {
    /// Whether all of it gives way to urgent work.
    pub fn yielding(&self) -> bool {
        self.firm == 0
    }

    /// Taken by committed tasks of lower priority.
    pub fn below(&self, priority: PriorityClass) -> Resources {
        let lower = self.by_priority.iter().take(priority as usize);
        lower.fold(Resources::default(), |sum, resources| sum.plus(*resources))
    }

    fn add(&mut self, spec: &JobSpec, committed: bool) {
        self.tasks += 1;
        self.allocated = self.allocated.plus(spec.resources);
        if committed {
            let of_priority = &mut self.by_priority[spec.priority as usize];
            *of_priority = of_priority.plus(spec.resources);
        }
        if committed && spec.yields() {
            self.soft = self.soft.plus(spec.resources);
        } else if committed {
            self.firm += 1;
        }
    }

    /// Whether anything is left.
    fn remove(&mut self, spec: &JobSpec, committed: bool) -> bool {
        self.tasks -= 1;
        self.allocated = self.allocated.minus(spec.resources);
        if committed {
            let of_priority = &mut self.by_priority[spec.priority as usize];
            *of_priority = of_priority.minus(spec.resources);
        }
        if committed && spec.yields() {
            self.soft = self.soft.minus(spec.resources);
        } else if committed {
            self.firm -= 1;
        }
        self.tasks > 0
    }
}

/// What is taken of all machines, and where that has changed since somebody asked.
#[derive(Default)]
struct MachineUsages {
    by_machine: HashMap<MachineId, MachineUsage>,
    changed: HashSet<MachineId>,
}

impl MachineUsages {
    fn occupy(&mut self, machine_id: &MachineId, spec: &JobSpec, committed: bool) {
        let allocated = self.by_machine.entry(machine_id.clone()).or_default();
        allocated.add(spec, committed);
        self.changed.insert(machine_id.clone());
    }

    fn vacate(&mut self, machine_id: &MachineId, spec: &JobSpec, committed: bool) {
        // An empty machine is forgotten, and with it what rounding left of its sums.
        if let Some(allocated) = self.by_machine.get_mut(machine_id)
            && !allocated.remove(spec, committed)
        {
            self.by_machine.remove(machine_id);
        }
        self.changed.insert(machine_id.clone());
    }
}

type InShard = HashMap<Team, HashMap<ShardId, (Resources, u32)>>;

/// The groups of teams that each team belongs to: the nodes above it in the tree of quotas.
pub type Groups = HashMap<Team, Vec<Team>>;

/// A team and its groups.
fn with_groups<'a>(groups: &'a Groups, team: &'a Team) -> impl Iterator<Item = &'a Team> {
    std::iter::once(team).chain(groups.get(team).into_iter().flatten())
}

fn enter(shards: &mut InShard, groups: &Groups, shard: &ShardId, spec: &JobSpec) {
    for team in with_groups(groups, &spec.team) {
        let shards = shards.entry(team.clone()).or_default();
        let (resources, tasks) = shards.entry(shard.clone()).or_default();
        *resources = resources.plus(spec.resources);
        *tasks += 1;
    }
}

fn leave(shards: &mut InShard, groups: &Groups, shard: &ShardId, spec: &JobSpec) {
    for team in with_groups(groups, &spec.team) {
        let Some(shards) = shards.get_mut(team) else {
            continue;
        };
        if let Some((resources, tasks)) = shards.get_mut(shard) {
            *resources = resources.minus(spec.resources);
            *tasks -= 1;
            if *tasks == 0 {
                shards.remove(shard);
            }
        }
    }
}

fn room_in(shards: &InShard, team: &Team, shard: &ShardId) -> Resources {
    let shards = shards.get(team);
    shards
        .and_then(|shards| shards.get(shard))
        .map(|(resources, _)| *resources)
        .unwrap_or_default()
}

/// Adds to the sums of a team and its groups.
fn count(sums: &mut HashMap<Team, Resources>, groups: &Groups, team: &Team, resources: Resources) {
    for team in with_groups(groups, team) {
        let sum = sums.entry(team.clone()).or_default();
        *sum = sum.plus(resources);
    }
}

/// The same for what has left: only a tree of quotas asks for it.
fn left(sums: &mut HashMap<Team, Resources>, groups: &Groups, team: &Team, resources: Resources) {
    if !groups.is_empty() {
        count(sums, groups, team, resources);
    }
}

#[derive(Default)]
pub struct JobCache {
    jobs: HashMap<JobId, Job>,
    over: HashMap<JobId, FinishedJob>,
    on_machine: HashMap<MachineId, BTreeSet<(JobId, u32)>>,
    uses: MachineUsages,
    /// What the placed tasks of each team, and of each group of teams, use.
    usage: HashMap<Team, Resources>,
    /// Of that, what tasks use that are known to have left, though that is not written yet.
    left_by: HashMap<Team, Resources>,
    /// Groups are counted as teams are, under names of their own.
    groups: Groups,
    /// What each team's tasks use in each shard, reserved ones included, and how many they are.
    in_shard: InShard,
    /// Placed in memory, not yet committed.
    reserved_by: HashMap<Team, Resources>,
    /// The same by shard.
    reserved_in: InShard,
    /// Pages that came before their job's record.
    early: HashMap<JobId, BTreeMap<u32, (Revision, String)>>,
    /// Pages of jobs that are over, of no use any more.
    leftovers: HashSet<(JobId, u32)>,
}

impl JobCache {
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// Pages that nobody needs.
    pub fn leftovers(&self) -> impl Iterator<Item = &(JobId, u32)> {
        self.leftovers.iter()
    }

    pub fn over(&self, id: &JobId) -> Option<JobState> {
        self.over.get(id).map(|over| JobState {
            id: id.clone(),
            stage: match over.phase {
                Phase::Aborted => JobStage::Aborted,
                _ => JobStage::Done,
            },
            done: if over.phase == Phase::Done {
                over.tasks
            } else {
                0
            },
            running: 0,
        })
    }

    pub fn state(&self, id: &JobId) -> Option<JobState> {
        self.get(id).map(Job::state).or_else(|| self.over(id))
    }

    pub fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    pub fn on_machine(&self, machine_id: &MachineId) -> impl Iterator<Item = &(JobId, u32)> {
        self.on_machine.get(machine_id).into_iter().flatten()
    }

    pub fn machine_ids(&self) -> impl Iterator<Item = &MachineId> {
        self.on_machine.keys()
    }

    pub fn busy(&self, machine_id: &MachineId) -> bool {
        self.uses.by_machine.contains_key(machine_id)
    }

    /// What is taken of a machine.
    pub fn machine_usage(&self, machine_id: &MachineId) -> MachineUsage {
        self.uses
            .by_machine
            .get(machine_id)
            .copied()
            .unwrap_or_default()
    }

    /// Hosts of which more or less is taken than when this was asked last.
    pub fn take_changed_machines(&mut self) -> HashSet<MachineId> {
        std::mem::take(&mut self.uses.changed)
    }

    /// Room taken on a machine: by what the records place there and by what is reserved.
    pub fn allocated(&self, machine_id: &MachineId) -> Resources {
        self.machine_usage(machine_id).allocated
    }

    /// Whether all work on a machine gives way to urgent work.
    pub fn yielding(&self, machine_id: &MachineId) -> bool {
        self.machine_usage(machine_id).yielding()
    }

    /// What a team's tasks use, by the records and by what is reserved.
    pub fn usage(&self, team: &Team) -> Resources {
        let committed = self.usage.get(team).copied().unwrap_or_default();
        let reserved = self.reserved_by.get(team).copied().unwrap_or_default();
        committed.plus(reserved)
    }

    /// Counts by other groups from now on.
    pub fn regroup(&mut self, groups: Groups) {
        self.groups = groups;
        self.usage.clear();
        self.left_by.clear();
        self.reserved_by.clear();
        self.reserved_in.clear();
        self.in_shard.clear();
        for job in self.jobs.values() {
            let (groups, spec) = (&self.groups, &job.spec);
            for (_, placement) in job.placements() {
                count(&mut self.usage, groups, &spec.team, spec.resources);
                enter(&mut self.in_shard, groups, &placement.shard, spec);
            }
            for _ in &job.left {
                count(&mut self.left_by, groups, &spec.team, spec.resources);
            }
            for change in job.changes.values() {
                if let TaskChange::Place(placement) = change {
                    count(&mut self.reserved_by, groups, &spec.team, spec.resources);
                    enter(&mut self.reserved_in, groups, &placement.shard, spec);
                    enter(&mut self.in_shard, groups, &placement.shard, spec);
                }
            }
        }
    }

    /// All that the unfinished jobs of each team could use at once.
    pub fn demands(&self) -> HashMap<&Team, Resources> {
        let mut demands: HashMap<&Team, Resources> = HashMap::default();
        for job in self.jobs.values().filter(|job| job.active()) {
            let left = job.record.tasks.saturating_sub(job.done);
            let demand = demands.entry(&job.spec.team).or_default();
            *demand = demand.plus(job.spec.resources.times(f64::from(left)));
        }
        demands
    }

    /// What a team's tasks use, without those that are known to have left. Limits rest on the
    /// records; shares follow what is seen.
    pub fn standing(&self, team: &Team) -> Resources {
        let left = self.left_by.get(team).copied().unwrap_or_default();
        self.usage(team).minus(left)
    }

    /// What a team's tasks use in one shard, reserved ones included.
    pub fn used_in(&self, team: &Team, shard: &ShardId) -> Resources {
        room_in(&self.in_shard, team, shard)
    }

    /// Of that, what is reserved and not yet in the records.
    pub fn reserved_in(&self, team: &Team, shard: &ShardId) -> Resources {
        room_in(&self.reserved_in, team, shard)
    }

    /// The shards that a team has tasks in.
    pub fn shards_of(&self, team: &Team) -> impl Iterator<Item = &ShardId> {
        self.in_shard.get(team).into_iter().flat_map(|b| b.keys())
    }

    pub fn feed_job(
        &mut self,
        id: &JobId,
        text: &str,
        version: Revision,
        now: Millis,
    ) -> RecordChange {
        let record: JobRecord = match serde_json::from_str(text) {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(job = %id, %error, "job record is invalid");
                return RecordChange::default();
            }
        };
        let known = self.jobs.get(id).map(|job| job.version);
        // The answer to a transaction of ours may come after the watch has brought what followed.
        let known = known.or(self.over.get(id).map(|over| over.version));
        if known.is_some_and(|known| known >= version) {
            return RecordChange::default();
        }
        let Some(spec) = record.spec.clone() else {
            let touched = self.forget(id);
            let (phase, tasks) = (record.phase, record.tasks);
            let over = FinishedJob {
                phase,
                tasks,
                version,
            };
            self.over.insert(id.clone(), over);
            return touched;
        };
        match self.jobs.get_mut(id) {
            Some(job) => {
                job.version = version;
                job.record = record;
            }
            None => {
                let job = Job {
                    id: id.clone(),
                    version,
                    record,
                    spec,
                    born: now,
                    settled: now,
                    pages: BTreeMap::new(),
                    placed: 0,
                    done: 0,
                    changes: BTreeMap::new(),
                    left: BTreeMap::new(),
                    writing: Writing::Idle,
                };
                self.jobs.insert(id.clone(), job);
                for (page, (version, text)) in self.early.remove(id).unwrap_or_default() {
                    self.feed_page(id, page, &text, version);
                }
            }
        }
        RecordChange {
            job: Some(id.clone()),
            ..RecordChange::default()
        }
    }

    /// Drops all that is kept of a job that is over. What it still held comes free with that.
    fn forget(&mut self, id: &JobId) -> RecordChange {
        let mut touched = RecordChange {
            job: Some(id.clone()),
            ..RecordChange::default()
        };
        let pages: Vec<u32> = self
            .get(id)
            .map(|j| j.page_keys().collect())
            .unwrap_or_default();
        for page in pages {
            let left = self.set_page(id, page, None);
            touched.freed.extend(left.freed);
            touched.team = touched.team.or(left.team);
            self.leftovers.insert((id.clone(), page));
        }
        self.discard_changes(id);
        self.jobs.remove(id);
        self.early.remove(id);
        touched
    }

    pub fn feed_page(
        &mut self,
        id: &JobId,
        page: u32,
        text: &str,
        version: Revision,
    ) -> RecordChange {
        let Some(job) = self.jobs.get(id) else {
            if self.over.contains_key(id) {
                self.leftovers.insert((id.clone(), page));
            } else {
                let pages = self.early.entry(id.clone()).or_default();
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
                tracing::error!(job = %id, page, "task page is invalid");
                RecordChange::default()
            }
        }
    }

    pub fn drop_page(&mut self, id: &JobId, page: u32, version: Revision) -> RecordChange {
        if let Some(pages) = self.early.get_mut(id) {
            pages.remove(&page);
        }
        self.leftovers.remove(&(id.clone(), page));
        match self.jobs.get(id) {
            Some(job) if job.page_version(page) < version => self.set_page(id, page, None),
            _ => RecordChange::default(),
        }
    }

    /// Replaces a page and keeps the sums over all jobs right.
    fn set_page(&mut self, id: &JobId, page: u32, content: Option<Page>) -> RecordChange {
        let mut touched = RecordChange {
            job: Some(id.clone()),
            ..RecordChange::default()
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return RecordChange::default();
        };
        let old = match content {
            Some(content) => job.pages.insert(page, content),
            None => job.pages.remove(&page),
        };
        let old = old.map(|p| p.tasks).unwrap_or_default();
        let new = job
            .pages
            .get(&page)
            .map(|p| p.tasks.as_slice())
            .unwrap_or_default();
        let first = page * job.record.page;
        let (mut change, mut returned) = (Resources::default(), Resources::default());
        for index in 0..old.len().max(new.len()) {
            let before = old.get(index).unwrap_or(&Task::FRESH);
            let after = new.get(index).unwrap_or(&Task::FRESH);
            if before == after {
                continue;
            }
            let entry = (id.clone(), first + index as u32);
            match before {
                Task::Placed(p) => {
                    job.placed -= 1;
                    change = change.minus(job.spec.resources);
                    if job.left.remove(&entry.1).is_some() {
                        returned = returned.minus(job.spec.resources);
                    } else {
                        self.uses.vacate(&p.machine_id, &job.spec, true);
                    }
                    leave(&mut self.in_shard, &self.groups, &p.shard, &job.spec);
                    if let Some(tasks) = self.on_machine.get_mut(&p.machine_id) {
                        tasks.remove(&entry);
                        if tasks.is_empty() {
                            self.on_machine.remove(&p.machine_id);
                        }
                    }
                    touched.freed.push(p.machine_id.clone());
                    touched.team.get_or_insert_with(|| job.spec.team.clone());
                }
                Task::Done => job.done -= 1,
                Task::Waiting { .. } => {}
            }
            match after {
                Task::Placed(p) => {
                    job.placed += 1;
                    change = change.plus(job.spec.resources);
                    self.uses.occupy(&p.machine_id, &job.spec, true);
                    enter(&mut self.in_shard, &self.groups, &p.shard, &job.spec);
                    self.on_machine
                        .entry(p.machine_id.clone())
                        .or_default()
                        .insert(entry);
                    touched.allocated.push(p.machine_id.clone());
                }
                Task::Done => job.done += 1,
                Task::Waiting { .. } => {}
            }
        }
        if change != Resources::default() {
            count(&mut self.usage, &self.groups, &job.spec.team, change);
        }
        if returned != Resources::default() {
            left(&mut self.left_by, &self.groups, &job.spec.team, returned);
        }
        touched
    }

    /// Notes a change to be committed. A placement reserves its room at once; that of a task that
    /// has left is free at once.
    pub fn want(&mut self, id: &JobId, index: u32, change: TaskChange) {
        self.discard(id, &[index]);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let TaskChange::Place(placement) = &change {
            self.uses.occupy(&placement.machine_id, &job.spec, false);
            let (groups, spec) = (&self.groups, &job.spec);
            enter(&mut self.in_shard, groups, &placement.shard, spec);
            enter(&mut self.reserved_in, groups, &placement.shard, spec);
            count(&mut self.reserved_by, groups, &spec.team, spec.resources);
        } else if let Some(machine_id) = job.task(index).placement().map(|p| p.machine_id.clone()) {
            self.uses.vacate(&machine_id, &job.spec, true);
            let (team, resources) = (&job.spec.team, job.spec.resources);
            left(&mut self.left_by, &self.groups, team, resources);
            job.left.insert(index, machine_id);
        }
        job.changes.insert(index, change);
    }

    /// Gives up noted changes, whether committed by now or not.
    pub fn discard(&mut self, id: &JobId, indices: &[u32]) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for index in indices {
            let change = job.changes.remove(index);
            // Still placed by the records.
            if let Some(machine_id) = job.left.remove(index) {
                self.uses.occupy(&machine_id, &job.spec, true);
                let less = Resources::default().minus(job.spec.resources);
                left(&mut self.left_by, &self.groups, &job.spec.team, less);
            }
            if let Some(TaskChange::Place(placement)) = change {
                self.uses.vacate(&placement.machine_id, &job.spec, false);
                let (groups, spec) = (&self.groups, &job.spec);
                leave(&mut self.in_shard, groups, &placement.shard, spec);
                leave(&mut self.reserved_in, groups, &placement.shard, spec);
                let less = Resources::default().minus(spec.resources);
                count(&mut self.reserved_by, groups, &spec.team, less);
            }
        }
    }

    pub fn discard_changes(&mut self, id: &JobId) {
        let indices: Vec<u32> = self
            .get(id)
            .map(|job| job.changes.keys().copied().collect())
            .unwrap_or_default();
        self.discard(id, &indices);
    }

    /// Feeds a record from the state service; `None`: the key was dropped.
    pub fn apply(
        &mut self,
        key: &str,
        data: Option<&str>,
        version: Revision,
        now: Millis,
    ) -> RecordChange {
        if let Some(id) = key.strip_prefix(super::record::JOBS) {
            // Job records are never dropped: a job's end is remembered.
            return match data {
                Some(text) => self.feed_job(&id.into(), text, version, now),
                None => RecordChange::default(),
            };
        }
        let touched = match (parse_page_key(key), data) {
            (Some((id, page)), Some(text)) => self.feed_page(&id, page, text, version),
            (Some((id, page)), None) => self.drop_page(&id, page, version),
            (None, _) => RecordChange::default(),
        };
        if let Some(id) = touched.job.as_ref()
            && !(touched.allocated.is_empty() && touched.freed.is_empty())
            && let Some(job) = self.jobs.get_mut(id)
        {
            job.settled = now;
        }
        touched
    }
}

#[cfg(test)]
pub(crate) mod tests;
