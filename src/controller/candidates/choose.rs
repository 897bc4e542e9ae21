//! Chooses the machine for a task: the index gives a shortlist, and the cycle filters and scores
//! it.
//!
//! The work of a cycle is bounded. Machines of one class (group and capacity level) score almost
//! the same, so a few of each class represent all of it.

use std::collections::{BTreeMap, BTreeSet};

use super::{MachineQuery, MachineScope};
use crate::controller::Controller;
use crate::cycle::index::{ImageFilter, MachineClass, MachineGroup};
use crate::cycle::{self, Candidate, Choice, PlacementRequest};
use crate::fleet::fetch_rate;
use crate::jobs::cache::Job;
use crate::queue::Check;
use crate::types::{JobId, MachineId, Zone};
use crate::workers::Machine;

/// Maximum number of feasible machines per class that a cycle scores.
const MAX_FEASIBLE_PER_CLASS: usize = 8;
/// Maximum number of machines per class that a cycle filters, feasible or not. A machine of a class
/// with enough capacity may still be infeasible, for example because it is kept for other jobs.
const MAX_VISITED_PER_CLASS: usize = 128;
/// Maximum number of feasible machines that a cycle scores in each of its two passes: the first is
/// over the machines with the job's image, the second over all. It is divided evenly among the open
/// groups of machines.
const MAX_FEASIBLE: usize = 256;
/// Minimum number of feasible machines per group that a cycle may score, however many groups there
/// are.
const MIN_FEASIBLE_PER_GROUP: usize = 16;

impl Controller {
    /// Filters and scores machines for the next task of a job, and returns the best one. Fails with
    /// the checks that rejected all of them.
    pub(in crate::controller) fn choose_machine(
        &mut self,
        id: &JobId,
        query: MachineQuery,
    ) -> Result<MachineId, BTreeSet<Check>> {
        loop {
            self.refresh_candidates();
            let Some(job) = self.jobs.get(id) else {
                return Err(BTreeSet::new());
            };
            let full_shards = self.shards_without_quota(job, query.raise_quota_for);
            let mut request = PlacementRequest::new(job, full_shards);
            request.avoids_empty_machines = self.avoids_empty_machines(job);
            let machine_id = self.best_machine(&request, query)?;
            let machine = self.machines.get(&machine_id);
            if machine.is_some_and(|machine| self.is_schedulable(machine)) {
                return Ok(machine_id);
            }
            // The machine became unschedulable after the last sweep, so its entry is outdated.
            self.scheduler.candidates.index.remove(&machine_id);
        }
    }

    /// The best machine by score, of those with the job's image and of a few of each class.
    fn best_machine(
        &self,
        request: &PlacementRequest,
        query: MachineQuery,
    ) -> Result<MachineId, BTreeSet<Check>> {
        let job = request.job;
        let mut choice = Choice::default();
        let open = self.open_groups(request, query, &mut choice);
        let max_per_group = (MAX_FEASIBLE / open.len().max(1)).max(MIN_FEASIBLE_PER_GROUP);
        for image_filter in [ImageFilter::Image(&job.spec.image), ImageFilter::Any] {
            for group in &open {
                self.visit(image_filter, group, job, max_per_group, |candidate| {
                    choice.consider(request, &candidate)
                });
            }
        }
        choice.into_result()
    }

    /// The groups whose shards are open to the job. Records in `choice` which checks rejected
    /// machines that are not visited: those of closed shards, and those without enough capacity.
    fn open_groups(
        &self,
        request: &PlacementRequest,
        query: MachineQuery,
        choice: &mut Choice,
    ) -> Vec<&MachineGroup> {
        let (spec, resources) = (&request.job.spec, request.job.spec.resources);
        let candidates = &self.scheduler.candidates;
        let mut open = Vec::new();
        for group in candidates.groups(spec, query.scope, query.zone) {
            let fits_when_empty = resources.fits_in(self.capacity_of_type(&group.machine_type));
            if fits_when_empty && candidates.index.any_too_full(group, resources) {
                choice.record_rejection(Check::Resources);
            }
            let Some(check) = request.shard_rejection(&group.shard) else {
                open.push(group);
                continue;
            };
            let mut fitting = candidates.index.fitting(ImageFilter::Any, group, resources);
            if fitting.next().is_some() {
                choice.record_rejection(check);
            }
        }
        open
    }

    /// Visits machines of a group that have enough capacity according to the index: a few of each
    /// class, alternating between the fullest and the emptiest classes, until `max_feasible`
    /// machines passed the checks. Returns how many passed.
    fn visit<'a>(
        &'a self,
        image_filter: ImageFilter,
        group: &'a MachineGroup,
        job: &Job,
        max_feasible: usize,
        mut is_feasible: impl FnMut(Candidate<'a>) -> bool,
    ) -> usize {
        let index = &self.scheduler.candidates.index;
        let classes: Vec<MachineClass> = index
            .fitting(image_filter, group, job.spec.resources)
            .collect();
        let mut feasible = 0;
        for class in from_both_ends(&classes) {
            let mut feasible_in_class = 0;
            for machine_id in class.machine_ids.iter().take(MAX_VISITED_PER_CLASS) {
                if feasible_in_class == MAX_FEASIBLE_PER_CLASS || feasible == max_feasible {
                    break;
                }
                let Some(machine) = self.machines.get(machine_id) else {
                    continue;
                };
                self.work_counters.candidates.add(1);
                if is_feasible(self.candidate(job, machine)) {
                    feasible_in_class += 1;
                    feasible += 1;
                }
            }
        }
        feasible
    }

    /// The properties of a machine that a scheduling cycle of the job filters and scores by.
    pub(in crate::controller) fn candidate<'a>(
        &self,
        job: &Job,
        machine: &'a Machine,
    ) -> Candidate<'a> {
        let capacity = self.capacity(machine);
        let usage = self.jobs.machine_usage(&machine.machine_id);
        let rate_gb_per_s = fetch_rate(&self.autoscaler.type_specs, &machine.machine_type);
        let (image, image_gb) = (&job.spec.image, job.spec.image_gb);
        Candidate {
            machine,
            capacity,
            available: self.available_for(machine, &job.id),
            only_preemptible: usage.is_preemptible(),
            image_s: machine.image_wait_s(image, image_gb, rate_gb_per_s, self.now),
            fetch_s: image_gb / rate_gb_per_s,
            non_preemptible_share: usage
                .allocated
                .minus(usage.preemptible)
                .dominant_share(capacity),
        }
    }

    /// Whether a machine that has the job's image has enough resources for its next task; for a
    /// gang, whether such machines have enough for all of its tasks.
    pub(in crate::controller) fn has_cached_capacity(
        &mut self,
        id: &JobId,
        scope: MachineScope,
    ) -> bool {
        self.refresh_candidates();
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let request = PlacementRequest::new(job, self.shards_without_quota(job, None));
        let mut groups = self.scheduler.candidates.groups(&job.spec, scope, None);
        groups.retain(|group| request.shard_rejection(&group.shard).is_none());
        if job.is_multi_task_gang() {
            return self.has_cached_gang_capacity(&request, &groups);
        }
        let image_filter = ImageFilter::Image(&job.spec.image);
        let is_feasible = |candidate: Candidate| cycle::filter(&request, &candidate).is_none();
        groups
            .into_iter()
            .any(|group| self.visit(image_filter, group, job, 1, is_feasible) > 0)
    }

    /// Whether the machines of `groups` that have the image of a gang have enough resources for all
    /// of its tasks.
    fn has_cached_gang_capacity(
        &self,
        request: &PlacementRequest,
        groups: &[&MachineGroup],
    ) -> bool {
        let job = request.job;
        let image_filter = ImageFilter::Image(&job.spec.image);
        let index = &self.scheduler.candidates.index;
        // How many tasks fit: by zone if the gang requires a single one, otherwise in total.
        let mut fitting_tasks: BTreeMap<Option<&Zone>, u32> = BTreeMap::new();
        for group in groups {
            let zone = job.spec.one_zone.then_some(group.zone());
            let zone_tasks = fitting_tasks.entry(zone).or_default();
            let classes = index.fitting(image_filter, group, job.spec.resources);
            for machine_id in classes.flat_map(|class| class.machine_ids) {
                if *zone_tasks >= job.record.tasks {
                    return true;
                }
                let Some(machine) = self.machines.get(machine_id) else {
                    continue;
                };
                self.work_counters.candidates.add(1);
                let candidate = self.candidate(job, machine);
                if cycle::filter(request, &candidate).is_none() {
                    *zone_tasks += candidate.available.fit_count(job.spec.resources);
                }
            }
        }
        fitting_tasks
            .values()
            .any(|tasks| *tasks >= job.record.tasks)
    }

    /// Zones in which all tasks of a gang fit according to the index, those with the most capacity
    /// first.
    pub(in crate::controller) fn zones_by_capacity(
        &mut self,
        id: &JobId,
        scope: MachineScope,
    ) -> Vec<Zone> {
        self.refresh_candidates();
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let request = PlacementRequest::new(job, Vec::new());
        let candidates = &self.scheduler.candidates;
        let resources = job.spec.resources;
        let mut fitting_tasks: BTreeMap<&Zone, u32> = BTreeMap::new();
        for group in candidates.groups(&job.spec, scope, None) {
            if request.shard_rejection(&group.shard).is_some() {
                continue;
            }
            for class in candidates.index.fitting(ImageFilter::Any, group, resources) {
                let tasks_per_machine = class.level.available().fit_count(resources);
                let tasks = tasks_per_machine.saturating_mul(class.machine_ids.len() as u32);
                let zone_tasks = fitting_tasks.entry(group.zone()).or_default();
                *zone_tasks = zone_tasks.saturating_add(tasks);
            }
        }
        fitting_tasks.retain(|_, tasks| *tasks >= job.record.tasks);
        let mut zones: Vec<(u32, &Zone)> = fitting_tasks
            .into_iter()
            .map(|(zone, tasks)| (tasks, zone))
            .collect();
        zones.sort_by(|left, right| right.cmp(left));
        zones.into_iter().map(|(_, zone)| zone.clone()).collect()
    }
}

/// Iterates over the classes from both ends in turn: the first, the last, the second, the last but
/// one, and so on.
fn from_both_ends<'a, 'b>(
    classes: &'b [MachineClass<'a>],
) -> impl Iterator<Item = &'b MachineClass<'a>> {
    let last = classes.len().saturating_sub(1);
    (0..classes.len()).map(move |position| {
        let step = position / 2;
        let index = if position % 2 == 0 { step } else { last - step };
        &classes[index]
    })
}
