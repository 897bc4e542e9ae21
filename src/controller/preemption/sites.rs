//! The machines on which resources could be freed for a job, and the tasks to stop there.
//!
//! The search is bounded: there are many full machines, and the tasks of each have to be examined.

use rustc_hash::FxHashMap as HashMap;

use super::cost::{Preemptibility, Preemptor};
use crate::controller::Controller;
use crate::controller::candidates::MachineScope;
use crate::cycle::PlacementRequest;
use crate::cycle::index::{ImageFilter, MachineGroup};
use crate::fleet::fetch_rate;
use crate::jobs::cache::Job;
use crate::preempt::{self, PreemptionSite, Victim};
use crate::types::{JobId, MachineId, TaskId};
use crate::workers::Machine;

/// Maximum number of machines per group that are compared with each other, unless a gang has more
/// tasks.
const MAX_SITES_PER_GROUP: usize = 64;
/// Maximum number of full machines, over all groups, whose tasks are examined.
const MAX_FULL_MACHINES: usize = 2_048;
/// Minimum number of full machines per group whose tasks may be examined, however many groups there
/// are.
const MIN_FULL_MACHINES_PER_GROUP: usize = 64;

/// Sites by machine.
type SitesByMachine<'a> = HashMap<&'a MachineId, PreemptionSite>;

/// The bounds of a search for sites.
pub(super) struct SiteSearch<'a> {
    preemptor: Preemptor<'a>,
    /// Whether work of any priority may be stopped, since teams use more than their guarantees.
    reclaims_borrowed: bool,
    /// Number of sites of a group after which the search ends.
    max_sites_per_group: usize,
    /// Maximum number of full machines of a group that are examined.
    max_full_per_group: usize,
}

impl Controller {
    /// The site for a machine of this controller; `None` if the job may not run there.
    pub(super) fn site_on(
        &self,
        preemptor: Preemptor,
        machine_id: &MachineId,
    ) -> Option<PreemptionSite> {
        let spec = &preemptor.job.spec;
        let request = PlacementRequest::new(preemptor.job, Vec::new());
        let machine = self.machines.get(machine_id).filter(|machine| {
            self.is_schedulable_locally(machine)
                && spec.allows(&machine.machine_type, &machine.zone, machine.spot)
                && request.zone_allowed(&machine.zone)
        })?;
        Some(self.site(preemptor, machine))
    }

    /// Sites in the whole fleet for one task of a job.
    pub(super) fn sites(&self, preemptor: Preemptor) -> Vec<PreemptionSite> {
        let job = preemptor.job;
        let request = PlacementRequest::new(job, Vec::new());
        let candidates = &self.scheduler.candidates;
        let mut groups = candidates.groups(&job.spec, MachineScope::All, None);
        groups.retain(|group| request.zone_allowed(group.zone()));
        let search = self.site_search(preemptor, groups.len(), 1);
        let sites = groups
            .into_iter()
            .flat_map(|group| self.sites_of_group(&search, group));
        sites.collect()
    }

    /// The bounds of a search for this many tasks in this many groups of machines. With a quota
    /// tree the search covers all machines, since the tree's ledger compares them with each other.
    pub(super) fn site_search<'a>(
        &self,
        preemptor: Preemptor<'a>,
        groups: usize,
        tasks: usize,
    ) -> SiteSearch<'a> {
        if self.reclaim_planner(preemptor.job).is_some() {
            return SiteSearch {
                preemptor,
                reclaims_borrowed: true,
                max_sites_per_group: usize::MAX,
                max_full_per_group: usize::MAX,
            };
        }
        let full_per_group = MAX_FULL_MACHINES / groups.max(1);
        SiteSearch {
            preemptor,
            reclaims_borrowed: preemptor.within_guarantee && self.any_team_borrows(),
            max_sites_per_group: tasks.max(MAX_SITES_PER_GROUP),
            max_full_per_group: full_per_group.max(MIN_FULL_MACHINES_PER_GROUP),
        }
    }

    /// Sites of one group: machines with the job's image that have the resources available, other
    /// machines that have them, and full ones where enough tasks can be stopped.
    pub(super) fn sites_of_group(
        &self,
        search: &SiteSearch,
        group: &MachineGroup,
    ) -> Vec<PreemptionSite> {
        let mut found = SitesByMachine::default();
        self.add_sites_with_capacity(search, group, &mut found);
        self.add_full_sites(search, group, &mut found);
        found.into_values().collect()
    }

    /// Adds machines that have the resources available, those with the job's image first.
    fn add_sites_with_capacity<'a>(
        &'a self,
        search: &SiteSearch,
        group: &'a MachineGroup,
        found: &mut SitesByMachine<'a>,
    ) {
        let spec = &search.preemptor.job.spec;
        let index = &self.scheduler.candidates.index;
        for image_filter in [ImageFilter::Image(&spec.image), ImageFilter::Any] {
            let machine_ids = index
                .fitting(image_filter, group, spec.resources)
                .flat_map(|class| class.machine_ids)
                .take(search.max_sites_per_group);
            for machine_id in machine_ids {
                if let Some(machine) = self.machines.get(machine_id)
                    && !found.contains_key(machine_id)
                {
                    found.insert(machine_id, self.site(search.preemptor, machine));
                }
            }
        }
    }

    /// Adds full machines where enough tasks can be stopped.
    fn add_full_sites<'a>(
        &'a self,
        search: &SiteSearch,
        group: &'a MachineGroup,
        found: &mut SitesByMachine<'a>,
    ) {
        let spec = &search.preemptor.job.spec;
        let index = &self.scheduler.candidates.index;
        let machine_ids = index
            .too_full(group, spec.resources)
            .flat_map(|class| class.machine_ids)
            .take(search.max_full_per_group);
        let mut sites_with_offer = 0;
        for machine_id in machine_ids {
            if sites_with_offer >= search.max_sites_per_group {
                break;
            }
            self.work_counters.candidates.add(1);
            let Some(machine) = self.machines.get(machine_id) else {
                continue;
            };
            let usage = self.jobs.machine_usage(machine_id);
            let lower_priority = usage.below_priority(spec.priority);
            let available_after_stops = self.available(machine).plus(lower_priority);
            if !search.reclaims_borrowed && !spec.resources.fits_in(available_after_stops) {
                continue;
            }
            let site = self.site(search.preemptor, machine);
            sites_with_offer +=
                usize::from(preempt::offer_on_site(spec.resources, &site).is_some());
            found.insert(machine_id, site);
        }
    }

    /// A machine as a site: the resources available there for the job, and the tasks that could be
    /// stopped.
    fn site(&self, preemptor: Preemptor, machine: &Machine) -> PreemptionSite {
        self.work_counters.sites.add(1);
        let job = preemptor.job;
        let available = self.available_for(machine, &job.id);
        // If the job's task fits already, no other task has to be stopped, unless the job is
        // subject to the shares of a quota tree.
        let fits = job.spec.resources.fits_in(available) && !self.in_tree(&job.spec.team);
        let victims = self
            .jobs
            .tasks_on(&machine.machine_id)
            .filter(|_| !fits)
            .filter_map(|(id, index)| self.victim(preemptor, id, *index))
            .collect();
        let rate_gb_per_s = fetch_rate(&self.autoscaler.type_specs, &machine.machine_type);
        let (image, image_gb) = (&job.spec.image, job.spec.image_gb);
        PreemptionSite {
            machine_id: machine.machine_id.clone(),
            available,
            victims,
            delay_s: machine.image_wait_s(image, image_gb, rate_gb_per_s, self.now),
            under_quota_tree: false,
        }
    }

    /// A task as a preemption victim for a job; `None` if the task must not be stopped. Gangs are
    /// never stopped in part.
    fn victim(&self, preemptor: Preemptor, id: &JobId, index: u32) -> Option<Victim> {
        let task = TaskId {
            job: id.clone(),
            index,
        };
        let victim: &Job = self.jobs.get(id)?;
        let already_stopping = self.scheduler.stops.contains_key(&task) || !victim.is_active();
        let preemptibility = if already_stopping || victim.is_multi_task_gang() {
            Preemptibility::default()
        } else {
            self.preemptibility(preemptor, victim)
        };
        if !already_stopping && !preemptibility.unconditional && !preemptibility.by_quota_tree {
            return None;
        }
        Some(Victim {
            task,
            resources: victim.spec.resources,
            priority: victim.spec.priority,
            waste_s: self.wasted_machine_s(victim),
            already_stopping,
            unconditional: preemptibility.unconditional,
            borrowing_team: preemptibility
                .by_quota_tree
                .then(|| victim.spec.team.clone()),
            overuse_steps: None,
        })
    }
}
