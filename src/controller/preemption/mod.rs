//! Preemption, the post-filter of the cycle: stops tasks so that a task, or a gang, fits, and
//! nominates the job for the machines, so that no job of lower priority takes the resources.
//!
//! - `cost`: which tasks may be stopped, and how much work that wastes;
//! - `sites`: the machines on which resources could be freed.
//!
//! The leader considers the whole fleet. On machines of other controllers' shards, the controller
//! that holds the shard stops the tasks.

mod cost;
mod sites;

use std::collections::BTreeMap;

use super::candidates::MachineScope;
use super::{Controller, Effect};
use crate::cycle::PlacementRequest;
use crate::jobs::cache::Job;
use crate::peers::Message;
use crate::preempt::{self, PreemptionOffer, PreemptionSite};
use crate::quota::reclaim::MachineReservation;
use crate::types::{JobId, MachineId, Millis, TaskId, Zone};
use crate::workers::reconcile::Stop;

/// How long freed resources are kept for a job: enough for most tasks to save their checkpoint and
/// end.
const NOMINATION_TIMEOUT: Millis = Millis(20_000);

/// Where resources may be freed.
pub(super) enum PreemptionScope {
    /// On this machine, which is in a shard of this controller.
    On(MachineId),
    /// Where the job would start soonest, provided that tasks have to be stopped there and not only
    /// an image fetched.
    Quickest,
    /// Anywhere in the fleet.
    Anywhere,
}

/// How resources are freed for a job.
enum PreemptionPlan {
    /// Tasks are stopped, which frees resources for one task of the job on each of these machines.
    Preempt(Vec<PreemptionOffer>),
    /// Tasks are stopped on one machine, and the other resources become available as other tasks
    /// there end.
    Reclaim(MachineReservation),
}

/// The request to the holder of a machine on which resources are to be freed.
#[derive(Clone, Copy)]
pub(in crate::controller) enum HolderRequest {
    /// Take the job over, and preempt on the machine if it does not fit otherwise.
    PlaceJob,
    /// Preempt on the machine for a job that the leader places, or for several tasks of it.
    FreeResources,
}

impl Controller {
    /// Stops tasks where that wastes least, and keeps their resources for the job. Returns whether
    /// resources are being freed.
    pub(super) fn preempt(&mut self, id: &JobId, scope: PreemptionScope) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        match self.plan_preemption(job, &scope) {
            Some(PreemptionPlan::Preempt(offers)) => self.preempt_on(id, offers),
            Some(PreemptionPlan::Reclaim(reservation)) => {
                let requested = matches!(scope, PreemptionScope::On(_));
                (requested || self.may_reserve_machine(id)) && self.reserve_machine(id, reservation)
            }
            None => false,
        }
    }

    /// Decides where to free resources for a job, and how; `None` if there is no way.
    fn plan_preemption(&self, job: &Job, scope: &PreemptionScope) -> Option<PreemptionPlan> {
        let preemptor = self.preemptor(job);
        let resources = job.spec.resources;
        let sites: Vec<PreemptionSite> = match scope {
            PreemptionScope::On(machine_id) => {
                self.site_on(preemptor, machine_id).into_iter().collect()
            }
            PreemptionScope::Quickest | PreemptionScope::Anywhere => self.sites(preemptor),
        };
        let offers: Vec<PreemptionOffer> = match self.reclaim_planner(job) {
            Some(ledger) => {
                let max_tasks = match scope {
                    PreemptionScope::Anywhere => Self::max_reclaims(job),
                    PreemptionScope::On(_) | PreemptionScope::Quickest => 1,
                };
                let offers = ledger.clone().plan(resources, sites.clone(), max_tasks);
                if offers.is_empty() && !matches!(scope, PreemptionScope::Quickest) {
                    let reservation = self.plan_reservation(&job.id, ledger, &sites)?;
                    return Some(PreemptionPlan::Reclaim(reservation));
                }
                offers
            }
            None => preempt::cheapest_offer(resources, sites)
                .into_iter()
                .collect(),
        };
        let first = offers.first()?;
        if matches!(scope, PreemptionScope::Quickest) && first.victims.is_empty() {
            return None;
        }
        Some(PreemptionPlan::Preempt(offers))
    }

    /// Frees resources for one task of a job on each of these machines.
    fn preempt_on(&mut self, id: &JobId, offers: Vec<PreemptionOffer>) -> bool {
        let request = if offers.len() > 1 {
            HolderRequest::FreeResources
        } else {
            HolderRequest::PlaceJob
        };
        let timeout = self
            .nomination_timeout(id, &offers)
            .unwrap_or(NOMINATION_TIMEOUT);
        let expires_at = self.now + timeout;
        for offer in offers {
            let PreemptionOffer {
                machine_id,
                victims,
                ..
            } = offer;
            tracing::info!(job = %id, %machine_id, ?victims, "preempting tasks");
            self.free_resources_on(id, machine_id, victims, expires_at, request);
        }
        true
    }

    /// Frees resources for all tasks of a gang. Returns whether resources are being freed.
    pub(super) fn preempt_for_gang(&mut self, id: &JobId) -> bool {
        let Some(offers) = self.gang_offers(id) else {
            return false;
        };
        tracing::info!(
            job = %id,
            machine_ids = ?offers.iter().map(|offer| &offer.machine_id).collect::<Vec<_>>(),
            "preempting tasks for gang"
        );
        let expires_at = self.now + NOMINATION_TIMEOUT;
        for offer in offers {
            let request = HolderRequest::FreeResources;
            self.free_resources_on(id, offer.machine_id, offer.victims, expires_at, request);
        }
        true
    }

    /// Nominates a job for a machine until `expires_at`, and has tasks stopped there, by the
    /// machine's holder if that is another controller.
    pub(in crate::controller) fn free_resources_on(
        &mut self,
        id: &JobId,
        machine_id: MachineId,
        victims: Vec<TaskId>,
        expires_at: Millis,
        request: HolderRequest,
    ) {
        let Some(resources) = self.jobs.get(id).map(|job| job.spec.resources) else {
            return;
        };
        self.scheduler
            .nominations
            .add(id, &machine_id, resources, expires_at);
        match self.machines.get(&machine_id) {
            Some(machine) if !self.is_schedulable_locally(machine) => {
                let to = machine.last_contact_by.clone();
                let message = request.message(id, &machine_id);
                self.effects.push(Effect::Peer { to, message });
            }
            _ => self.stop_victims(&machine_id, victims),
        }
    }

    /// Stops these tasks on a machine of this controller. Tasks that lose little by being stopped
    /// are not given time to save a checkpoint.
    pub(super) fn stop_victims(&mut self, machine_id: &MachineId, victims: Vec<TaskId>) {
        for task in victims {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let save = !job.spec.is_cheap_to_kill();
            let placement = job.task(task.index).placement();
            if let Some(attempt) = placement.map(|placement| placement.attempt) {
                self.scheduler.stops.insert(task, Stop { attempt, save });
            }
        }
        self.push_commands(machine_id);
    }

    /// Where a gang would start soonest, all in one zone if it requires that: on machines with
    /// enough available resources, and on those where stopping tasks wastes less than a fetch.
    /// `None` if there are too few.
    pub(super) fn gang_offers(&self, id: &JobId) -> Option<Vec<PreemptionOffer>> {
        let job = self.jobs.get(id)?;
        let (resources, tasks) = (job.spec.resources, job.record.tasks as usize);
        let ledger = self.reclaim_planner(job);
        let offer_sets =
            self.gang_sites_by_zone(job, tasks)
                .into_values()
                .map(|sites| match &ledger {
                    Some(ledger) => ledger.clone().plan_gang(resources, sites, tasks),
                    None => sites
                        .iter()
                        .filter_map(|site| preempt::offer_on_site(resources, site))
                        .collect(),
                });
        preempt::cheapest_set(offer_sets, tasks)
    }

    /// The sites that a gang could use together: by zone if it requires a single one, otherwise in
    /// one list.
    fn gang_sites_by_zone(
        &self,
        job: &Job,
        tasks: usize,
    ) -> BTreeMap<Option<&Zone>, Vec<PreemptionSite>> {
        let full_shards = self.shards_without_quota(job, Some(job.record.tasks));
        let request = PlacementRequest::new(job, full_shards);
        let candidates = &self.scheduler.candidates;
        let mut groups = candidates.groups(&job.spec, MachineScope::All, None);
        groups.retain(|group| request.shard_rejection(&group.shard).is_none());
        let search = self.site_search(self.preemptor(job), groups.len(), tasks);
        let mut sites_by_zone: BTreeMap<Option<&Zone>, Vec<PreemptionSite>> = BTreeMap::new();
        for group in groups {
            let zone = job.spec.one_zone.then_some(group.zone());
            let sites = sites_by_zone.entry(zone).or_default();
            sites.extend(self.sites_of_group(&search, group));
        }
        sites_by_zone
    }
}

impl HolderRequest {
    /// The message that carries the request.
    fn message(self, job: &JobId, machine_id: &MachineId) -> Message {
        let (job, machine_id) = (job.to_string(), machine_id.to_string());
        match self {
            Self::PlaceJob => Message::Place {
                job,
                preempt: Some(machine_id),
            },
            Self::FreeResources => Message::Preempt { job, machine_id },
        }
    }
}
