//! Preemption, the post-filter of the cycle: stops tasks so that a task, or a gang, finds room, and
//! nominates the job for the machines, so that nobody of lower priority takes the room.
//!
//! - `cost`: which tasks may be stopped, and how much work that wastes;
//! - `sites`: the machines on which room could be made.
//!
//! The leader looks at the whole fleet. On machines of other controllers' shards it leaves the
//! stopping to the controller that holds the shard.

mod cost;
mod sites;

use std::collections::BTreeMap;

use super::candidates::MachineScope;
use super::{Controller, Effect};
use crate::cycle::PlacementRequest;
use crate::jobs::cache::Job;
use crate::peers::Message;
use crate::preempt::{self, PreemptionOffer, Site};
use crate::quota::reclaim::MachineReservation;
use crate::types::{JobId, MachineId, Millis, TaskId, Zone};
use crate::workers::reconcile::Stop;

/// How long room is kept for the job that it was made for: enough for most tasks to save and leave.
const NOMINATION_TIMEOUT: Millis = Millis(20_000);

/// Where room may be made.
pub(super) enum PreemptionScope {
    /// On this machine of ours.
    On(MachineId),
    /// Where the job would start soonest, if that is by stopping work rather than by a fetch.
    Quickest,
    /// Anywhere in the fleet.
    Anywhere,
}

/// How room is made for a job.
enum PreemptionPlan {
    /// Tasks are stopped: room for one task of the job on each of these machines.
    Preempt(Vec<PreemptionOffer>),
    /// Tasks are stopped on one machine, and the rest of the room comes as other tasks there end.
    Reclaim(MachineReservation),
}

/// What the holder of a machine is told when room is to be made there.
#[derive(Clone, Copy)]
enum HolderRequest {
    /// Take the job over, and preempt on the machine if it does not fit otherwise.
    PlaceJob,
    /// Preempt on the machine for a job that the leader places, or for several tasks of it.
    MakeRoom,
}

impl Controller {
    /// Stops tasks where that wastes least, and keeps their room for the job. Returns whether room
    /// is being made.
    pub(super) fn preempt(&mut self, id: &JobId, scope: PreemptionScope) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        match self.plan_preemption(job, &scope) {
            Some(PreemptionPlan::Preempt(offers)) => self.preempt_on(id, offers),
            Some(PreemptionPlan::Reclaim(reservation)) => {
                let requested = matches!(scope, PreemptionScope::On(_));
                (requested || self.may_gather(id)) && self.gather_on(id, reservation)
            }
            None => false,
        }
    }

    fn plan_preemption(&self, job: &Job, scope: &PreemptionScope) -> Option<PreemptionPlan> {
        let preemptor = self.preemptor(job);
        let resources = job.spec.resources;
        let sites: Vec<Site> = match scope {
            PreemptionScope::On(machine_id) => {
                self.site_on(preemptor, machine_id).into_iter().collect()
            }
            PreemptionScope::Quickest | PreemptionScope::Anywhere => self.sites(preemptor),
        };
        let offers: Vec<PreemptionOffer> = match self.ledger(job) {
            Some(ledger) => {
                let max_tasks = match scope {
                    PreemptionScope::Anywhere => Self::claims(job),
                    PreemptionScope::On(_) | PreemptionScope::Quickest => 1,
                };
                let offers = ledger.clone().plan(resources, sites.clone(), max_tasks);
                if offers.is_empty() && !matches!(scope, PreemptionScope::Quickest) {
                    let reservation = self.gather(&job.id, ledger, &sites)?;
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

    /// Makes room for one task of a job on each of these machines.
    fn preempt_on(&mut self, id: &JobId, offers: Vec<PreemptionOffer>) -> bool {
        let request = if offers.len() > 1 {
            HolderRequest::MakeRoom
        } else {
            HolderRequest::PlaceJob
        };
        let timeout = self.kept_for(id, &offers).unwrap_or(NOMINATION_TIMEOUT);
        let until = self.now + timeout;
        for offer in offers {
            let (machine_id, victims) = (&offer.machine_id, &offer.victims);
            tracing::info!(job = %id, %machine_id, ?victims, "preempting");
            self.make_room_on(id, offer, until, request);
        }
        true
    }

    /// Makes room for all tasks of a gang. Returns whether room is being made.
    pub(super) fn preempt_for_gang(&mut self, id: &JobId) -> bool {
        let Some(offers) = self.gang_offers(id) else {
            return false;
        };
        tracing::info!(job = %id, machine_ids = ?offers.iter().map(|o| &o.machine_id).collect::<Vec<_>>(),
            "preempting for gang");
        let until = self.now + NOMINATION_TIMEOUT;
        for offer in offers {
            self.make_room_on(id, offer, until, HolderRequest::MakeRoom);
        }
        true
    }

    /// Nominates a job for a machine until then, and has tasks stopped there: by its holder, unless
    /// that is this controller.
    fn make_room_on(
        &mut self,
        id: &JobId,
        offer: PreemptionOffer,
        until: Millis,
        request: HolderRequest,
    ) {
        let Some(resources) = self.jobs.get(id).map(|job| job.spec.resources) else {
            return;
        };
        let machine_id = offer.machine_id;
        self.scheduler
            .nominations
            .add(id, &machine_id, resources, until);
        match self.machines.get(&machine_id) {
            Some(machine) if !self.ours(machine) => {
                let to = machine.heard_by.clone();
                let message = request.message(id, &machine_id);
                self.effects.push(Effect::Peer { to, message });
            }
            _ => self.stop_victims(&machine_id, offer.victims),
        }
    }

    /// Stops these tasks, which are on a machine of ours. Those that lose little by it are not
    /// given time to save.
    pub(super) fn stop_victims(&mut self, machine_id: &MachineId, victims: Vec<TaskId>) {
        for task in victims {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let save = !job.spec.cheap_to_kill();
            let placement = job.task(task.index).placement();
            if let Some(attempt) = placement.map(|placement| placement.attempt) {
                self.scheduler.stops.insert(task, Stop { attempt, save });
            }
        }
        self.push_commands(machine_id);
    }

    /// Where a gang would start soonest, all in one zone if it asks for that: on machines that
    /// have room, and on those where stopping tasks wastes less than a fetch. `None` if there are
    /// too few.
    pub(super) fn gang_offers(&self, id: &JobId) -> Option<Vec<PreemptionOffer>> {
        let job = self.jobs.get(id)?;
        let (resources, tasks) = (job.spec.resources, job.record.tasks as usize);
        let ledger = self.ledger(job);
        let offer_sets =
            self.gang_sites_by_zone(job, tasks)
                .into_values()
                .map(|sites| match &ledger {
                    Some(ledger) => ledger.clone().plan_all(resources, sites, tasks),
                    None => sites
                        .iter()
                        .filter_map(|site| preempt::offer(resources, site))
                        .collect(),
                });
        preempt::cheapest_set(offer_sets, tasks)
    }

    /// The sites that a gang could use together: of each zone if it has to be in one, of all zones
    /// otherwise.
    fn gang_sites_by_zone(&self, job: &Job, tasks: usize) -> BTreeMap<Option<&Zone>, Vec<Site>> {
        let full_shards = self.full_shards(job, Some(job.record.tasks));
        let request = PlacementRequest::new(job, full_shards);
        let candidates = &self.scheduler.candidates;
        let mut groups = candidates.groups(&job.spec, MachineScope::All, None);
        groups.retain(|group| request.shard_rejection(&group.shard).is_none());
        let search = self.site_search(self.preemptor(job), groups.len(), tasks);
        let mut sites_by_zone: BTreeMap<Option<&Zone>, Vec<Site>> = BTreeMap::new();
        for group in groups {
            let zone = job.spec.one_zone.then_some(group.zone());
            let sites = sites_by_zone.entry(zone).or_default();
            sites.extend(self.sites_of_group(&search, group));
        }
        sites_by_zone
    }
}

impl HolderRequest {
    fn message(self, job: &JobId, machine_id: &MachineId) -> Message {
        let (job, machine_id) = (job.to_string(), machine_id.to_string());
        match self {
            Self::PlaceJob => Message::Place {
                job,
                preempt: Some(machine_id),
            },
            Self::MakeRoom => Message::MakeRoom { job, machine_id },
        }
    }
}
