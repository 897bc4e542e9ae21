//! The machines that a cycle looks at, and what it sees of each.

use crate::cycle::index::CapacityIndex;
use std::collections::{BTreeMap, BTreeSet};

use super::Controller;
use crate::cycle::index::{CapacityLevel, Entry, Group, ImageFilter, MachineClass};
use crate::cycle::{self, Candidate, Choice, PlacementRequest};
use crate::fleet::{MachineTypeSpec, fetch_rate};
use crate::jobs::cache::Job;
use crate::queue::Check;
use crate::types::{Image, JobId, MachineId, MachineTypeId, Millis, Resources, Zone};
use crate::workers::Machine;

/// The fleet is looked over again after this long.
const POOL_HOLDS: Millis = Millis(200);

/// Machines of a class differ in little that a cycle sees, so it looks at so many that would do.
const MOST_OF_CLASS: usize = 8;
/// And at no more than so many of which some would not do, such as those that are kept for other jobs.
const MOST_LOOKED_OF_CLASS: usize = 128;
/// Machines that would do, of those with the job's image and of all, after which a cycle looks no further.
const MOST_CONSIDERED: usize = 256;
/// And of one group of machines at least so many.
const LEAST_OF_GROUP: usize = 16;

/// Whose machines a cycle looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    Own,
    Others,
    All,
}

/// Machines that can take tasks.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// When all machines were last looked over.
    pub(super) built: Millis,
    /// More machines are empty than stand ready for urgent work.
    pub(super) spare: bool,
    pub(super) index: CapacityIndex,
    /// Hosts of which something else than what is taken has changed.
    pub(super) touched: Vec<MachineId>,
}

impl Controller {
    pub(super) fn type_spec(&self, machine_type: &MachineTypeId) -> Option<&MachineTypeSpec> {
        self.autoscaler
            .type_specs
            .iter()
            .find(|type_spec| type_spec.id == *machine_type)
    }

    pub(super) fn capacity(&self, machine: &Machine) -> Resources {
        let type_spec = self.type_spec(&machine.machine_type);
        type_spec.map(|f| f.resources).unwrap_or_default()
    }

    pub(super) fn available(&self, machine: &Machine) -> Resources {
        self.capacity(machine)
            .minus(self.jobs.allocated(&machine.machine_id))
    }

    /// Fit for tasks that we place ourselves: in a shard of ours, and heard under its token.
    pub(super) fn ours(&self, machine: &Machine) -> bool {
        self.token_for(&machine.shard).is_some_and(|token| {
            machine.worker_token.token() == token
                && machine.answered.is_some_and(|(under, _)| under == token)
                && machine.fit(self.now, self.silence())
                && !self.autoscaler.drains.contains(&machine.machine_id)
                && !self.autoscaler.fleet.gone.contains(&machine.machine_id)
        })
    }

    /// Fit as far as its holder says.
    pub(super) fn others(&self, machine: &Machine) -> bool {
        self.token_for(&machine.shard).is_none()
            && self
                .membership
                .leases
                .shards
                .get(&machine.shard)
                .is_some_and(|(holder, _)| *holder == machine.heard_by)
            && machine.fit(self.now, self.silence())
            && !self.autoscaler.drains.contains(&machine.machine_id)
            && !self.autoscaler.fleet.gone.contains(&machine.machine_id)
    }

    /// Brings the index of free room up to date: with what has changed, and once in a while with all
    /// machines, since some become fit or unfit as time passes.
    pub(super) fn refresh_pool(&mut self) {
        let mut changed = self.jobs.take_changed_machines();
        changed.extend(std::mem::take(&mut self.scheduler.candidates.touched));
        if self.now.since(self.scheduler.candidates.built) >= POOL_HOLDS {
            // Images are entered when a machine is named; a sweep looks at the rest.
            self.enter(changed);
            self.sweep_pool();
        } else {
            self.enter(changed);
        }
    }

    /// Enters these machines as they stand now.
    fn enter(&mut self, machine_ids: impl IntoIterator<Item = MachineId>) {
        for machine_id in machine_ids {
            let entry = self.machines.get(&machine_id).and_then(|m| self.entry(m));
            match entry {
                Some(entry) => self.scheduler.candidates.index.update(&machine_id, entry),
                None => self.scheduler.candidates.index.remove(&machine_id),
            }
        }
    }

    /// A machine as the index of free room has it; none if it can take no tasks.
    fn entry(&self, machine: &Machine) -> Option<Entry> {
        let own = self.ours(machine);
        if !own && !self.others(machine) {
            return None;
        }
        let mut images: Vec<Image> = machine.images.keys().cloned().collect();
        images.sort();
        Some(Entry {
            group: Group {
                own,
                shard: machine.shard.clone(),
                machine_type: machine.machine_type.clone(),
                spot: machine.spot,
            },
            level: self.level(machine),
            images,
        })
    }

    fn level(&self, machine: &Machine) -> CapacityLevel {
        let on_it = self.jobs.machine_usage(&machine.machine_id);
        let available = self.capacity(machine).minus(on_it.allocated);
        CapacityLevel::new(available, on_it.soft, machine.coming.len())
    }

    /// Looks over all machines. What the index should have known is entered, and said.
    fn sweep_pool(&mut self) {
        let mut stale: Vec<MachineId> = Vec::new();
        let mut usable = 0;
        for (machine_id, machine) in &self.machines {
            let own = self.ours(machine);
            if !own && !self.others(machine) {
                continue;
            }
            usable += 1;
            let level = self.level(machine);
            let (shard, images) = (&machine.shard, machine.images.len());
            let stands = self
                .scheduler
                .candidates
                .index
                .stands(machine_id, own, shard, level, images);
            if !stands {
                stale.push(machine_id.clone());
            }
        }
        self.work_counters.swept.add(self.machines.len());
        let entered = stale.len();
        self.enter(stale);
        if self.scheduler.candidates.index.len() > usable {
            let unfit = |machine_id: &&MachineId| {
                let machine = self.machines.get(*machine_id);
                machine.is_none_or(|m| !self.ours(m) && !self.others(m))
            };
            let unfit: Vec<MachineId> = self
                .scheduler
                .candidates
                .index
                .machine_ids()
                .filter(unfit)
                .cloned()
                .collect();
            for machine_id in unfit {
                self.scheduler.candidates.index.remove(&machine_id);
            }
        }
        let ready: u32 = self.headroom().iter().map(|h| h.machines).sum();
        let empty = self
            .scheduler
            .candidates
            .index
            .machine_ids()
            .filter(|machine_id| !self.jobs.busy(machine_id));
        self.scheduler.candidates.spare = empty.count() > ready as usize;
        self.scheduler.candidates.built = self.now;
        tracing::trace!(usable, entered, "looked over the fleet");
    }

    /// The index of free room against a recount: what differs, if anything. Between two sweeps a machine may
    /// have become fit or unfit with time, or given a fetch up; all else has to be right at any moment.
    pub fn recount_pool(&mut self) -> Vec<String> {
        self.refresh_pool();
        let swept = self.scheduler.candidates.built == self.now;
        let mut differs = Vec::new();
        for (machine_id, entered) in self.scheduler.candidates.index.entries() {
            let machine = self.machines.get(machine_id);
            let should = machine.and_then(|machine| self.entry(machine));
            let right = match &should {
                Some(should) if swept => should == entered,
                Some(should) => {
                    should.level.available() == entered.level.available()
                        && should.images == entered.images
                }
                None => !swept,
            };
            if !right {
                differs.push(format!("{machine_id}: {entered:?}, should be {should:?}"));
            }
        }
        let usable = self.machines.values().filter(|m| self.entry(m).is_some());
        let (usable, entered) = (usable.count(), self.scheduler.candidates.index.len());
        if swept && usable != entered {
            differs.push(format!("{entered} machines entered, {usable} usable"));
        }
        differs
    }

    /// Groups of machines that a job allows, within a scope and a zone.
    pub(super) fn groups<'a>(
        &'a self,
        job: &Job,
        scope: Scope,
        zone: Option<&Zone>,
    ) -> Vec<&'a Group> {
        let groups = self.scheduler.candidates.index.groups();
        let groups = groups.filter(|group| match scope {
            Scope::Own => group.own,
            Scope::Others => !group.own,
            Scope::All => true,
        });
        let groups = groups.filter(|group| {
            zone.is_none_or(|zone| group.zone() == zone)
                && job
                    .spec
                    .allows(&group.machine_type, group.zone(), group.spot)
        });
        groups.collect()
    }

    /// Visits machines of a group on which a task of the job fits by the index: a few of each class, fullest
    /// and emptiest classes in turn, until so many have passed. Returns how many did.
    pub(super) fn visit<'a>(
        &'a self,
        having: ImageFilter,
        group: &'a Group,
        job: &Job,
        most: usize,
        mut passes: impl FnMut(Candidate<'a>) -> bool,
    ) -> usize {
        let classes: Vec<MachineClass> = self
            .scheduler
            .candidates
            .index
            .fitting(having, group, job.spec.resources)
            .collect();
        let mut passed = 0;
        for class in from_both_ends(&classes) {
            let mut of_class = 0;
            for machine_id in class.machine_ids.iter().take(MOST_LOOKED_OF_CLASS) {
                if of_class == MOST_OF_CLASS || passed == most {
                    break;
                }
                let Some(machine) = self.machines.get(machine_id) else {
                    continue;
                };
                self.work_counters.candidates.add(1);
                if passes(self.candidate(job, machine)) {
                    of_class += 1;
                    passed += 1;
                }
            }
        }
        passed
    }

    /// A machine as a cycle for the job sees it.
    pub(super) fn candidate<'a>(&self, job: &Job, machine: &'a Machine) -> Candidate<'a> {
        let (capacity, on_it) = (
            self.capacity(machine),
            self.jobs.machine_usage(&machine.machine_id),
        );
        let rate = fetch_rate(&self.autoscaler.type_specs, &machine.machine_type);
        let (image, gb) = (&job.spec.image, job.spec.image_gb);
        Candidate {
            machine,
            capacity,
            available: self.free_for(machine, &job.id),
            yielding: on_it.yielding(),
            image_s: machine.image_s(image, gb, rate, self.now),
            fetch_s: gb / rate,
            firm: on_it.allocated.minus(on_it.soft).share_of(capacity),
        }
    }

    /// Filters and scores the machines for the next task of a job.
    pub(super) fn choose(
        &mut self,
        id: &JobId,
        scope: Scope,
        zone: Option<&Zone>,
        raise: Option<u32>,
    ) -> Result<MachineId, BTreeSet<Check>> {
        loop {
            self.refresh_pool();
            let Some(job) = self.jobs.get(id) else {
                return Err(BTreeSet::new());
            };
            let mut asking = PlacementRequest::new(job, self.full_shards(job, raise));
            asking.avoids_empty_machines = self.avoids_empty_machines(job);
            let machine_id = self.survey(&asking, scope, zone)?;
            let usable = |m: &Machine| self.ours(m) || self.others(m);
            if self.machines.get(&machine_id).is_some_and(usable) {
                return Ok(machine_id);
            }
            // Not fit any more: the index is behind.
            self.scheduler.candidates.index.remove(&machine_id);
        }
    }

    /// The best machine for a task: of those with its image, and of a few of each other class.
    fn survey(
        &self,
        asking: &PlacementRequest,
        scope: Scope,
        zone: Option<&Zone>,
    ) -> Result<MachineId, BTreeSet<Check>> {
        let job = asking.job;
        let mut choice = Choice::default();
        let mut open = Vec::new();
        for group in self.groups(job, scope, zone) {
            let capacity = self
                .type_spec(&group.machine_type)
                .map(|f| f.resources)
                .unwrap_or_default();
            let ever = job.spec.resources.fits_in(capacity);
            if ever
                && self
                    .scheduler
                    .candidates
                    .index
                    .any_too_full(group, job.spec.resources)
            {
                choice.reject(Check::Resources);
            }
            match asking.closes(&group.shard) {
                None => open.push(group),
                Some(check) => {
                    let having = ImageFilter::Any;
                    let mut fits =
                        self.scheduler
                            .candidates
                            .index
                            .fitting(having, group, job.spec.resources);
                    if fits.next().is_some() {
                        choice.reject(check);
                    }
                }
            }
        }
        let most = (MOST_CONSIDERED / open.len().max(1)).max(LEAST_OF_GROUP);
        for having in [ImageFilter::Image(&job.spec.image), ImageFilter::Any] {
            for group in &open {
                self.visit(having, group, job, most, |candidate| {
                    choice.consider(asking, &candidate)
                });
            }
        }
        choice.made()
    }

    /// Whether a machine, ours or another's, has room and the job's image; for a gang, whether as
    /// many as it needs do.
    pub(super) fn cached(&mut self, id: &JobId, scope: Scope) -> bool {
        self.refresh_pool();
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let asking = PlacementRequest::new(job, self.full_shards(job, None));
        let having = ImageFilter::Image(&job.spec.image);
        let groups = self.groups(job, scope, None);
        let mut open = groups
            .into_iter()
            .filter(|g| asking.closes(&g.shard).is_none());
        if !job.whole_gang() {
            return open.any(|group| {
                let passes = |c: Candidate| cycle::filter(&asking, &c).is_none();
                self.visit(having, group, job, 1, passes) > 0
            });
        }
        let mut zones: BTreeMap<Option<&Zone>, u32> = BTreeMap::new();
        for group in open {
            let zone = job.spec.one_zone.then_some(group.zone());
            let tasks = zones.entry(zone).or_default();
            let classes =
                self.scheduler
                    .candidates
                    .index
                    .fitting(having, group, job.spec.resources);
            for machine in classes.flat_map(|class| class.machine_ids) {
                if *tasks >= job.record.tasks {
                    return true;
                }
                let Some(machine) = self.machines.get(machine) else {
                    continue;
                };
                self.work_counters.candidates.add(1);
                let candidate = self.candidate(job, machine);
                if cycle::filter(&asking, &candidate).is_none() {
                    *tasks += candidate.available.holds(job.spec.resources);
                }
            }
        }
        zones.values().any(|tasks| *tasks >= job.record.tasks)
    }

    /// Zones in which all tasks of a gang find room, those with most of it first.
    pub(super) fn zones_by_room(&mut self, id: &JobId, scope: Scope) -> Vec<Zone> {
        self.refresh_pool();
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let asking = PlacementRequest::new(job, Vec::new());
        let mut resources: BTreeMap<&Zone, u32> = BTreeMap::new();
        for group in self.groups(job, scope, None) {
            if asking.closes(&group.shard).is_some() {
                continue;
            }
            for class in
                self.scheduler
                    .candidates
                    .index
                    .fitting(ImageFilter::Any, group, job.spec.resources)
            {
                let each = class.level.available().holds(job.spec.resources);
                let there = each.saturating_mul(class.machine_ids.len() as u32);
                let sum = resources.entry(group.zone()).or_default();
                *sum = sum.saturating_add(there);
            }
        }
        let mut zones: Vec<(u32, &Zone)> = resources.into_iter().map(|(z, n)| (n, z)).collect();
        zones.retain(|(count, _)| *count >= job.record.tasks);
        zones.sort_by(|a, b| b.cmp(a));
        zones.into_iter().map(|(_, zone)| zone.clone()).collect()
    }
}

/// The first, the last, the second, the last but one, and so on.
fn from_both_ends<'a, 'b>(
    classes: &'b [MachineClass<'a>],
) -> impl Iterator<Item = &'b MachineClass<'a>> {
    let last = classes.len().saturating_sub(1);
    (0..classes.len()).map(move |turn| {
        let step = turn / 2;
        let index = if turn % 2 == 0 { step } else { last - step };
        &classes[index]
    })
}

#[cfg(test)]
mod tests;
