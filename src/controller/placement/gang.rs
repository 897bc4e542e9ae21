//! Machines for a gang: either all of its tasks are placed together, or none is.

use std::collections::BTreeSet;

use super::TaskAttempt;
use crate::controller::Controller;
use crate::controller::candidates::{MachineQuery, MachineScope};
use crate::cycle::PlacementRequest;
use crate::jobs::cache::Job;
use crate::queue::Check;
use crate::types::{Attempt, JobId, MachineId, Zone};

impl Controller {
    /// Reserves machines for all tasks of a gang. The leader considers the whole fleet, so a gang
    /// that fits into no single controller's shards can span the shards of several controllers.
    pub(super) fn place_gang(&mut self, id: &JobId) -> Result<(), BTreeSet<Check>> {
        let Some(job) = self.jobs.get(id) else {
            return Ok(());
        };
        let attempt = Attempt(job.highest_attempt().0 + 1);
        let tasks = job.record.tasks;
        if self.leading().is_none() {
            let query = MachineQuery::within(MachineScope::Own);
            return self.place_gang_task_by_task(id, attempt, query);
        }
        if tasks > 1
            && let Some(machine_ids) = self.machines_for_gang(id)?
            && self.reserve_gang_on(id, attempt, &machine_ids)
        {
            return Ok(());
        }
        let query = MachineQuery {
            raise_quota_for: Some(tasks),
            ..MachineQuery::within(MachineScope::All)
        };
        self.place_gang_task_by_task(id, attempt, query)
    }

    /// The machines that the gang is nominated for, or else those where it would start soonest;
    /// `None` if there are too few. Fails if tasks would have to be preempted there first.
    fn machines_for_gang(&mut self, id: &JobId) -> Result<Option<Vec<MachineId>>, BTreeSet<Check>> {
        self.refresh_candidates();
        if let Some(machine_ids) = self.scheduler.nominations.machines_for(id, self.now) {
            return Ok(Some(machine_ids.to_vec()));
        }
        let Some(offers) = self.gang_offers(id) else {
            return Ok(None);
        };
        if offers.iter().any(|offer| !offer.victims.is_empty()) {
            return Err(BTreeSet::from([Check::Resources]));
        }
        let machine_ids = offers.into_iter().map(|offer| offer.machine_id);
        Ok(Some(machine_ids.collect()))
    }

    /// Reserves these machines for a gang, one for each task. Returns false without any effect if
    /// one of them is unsuitable.
    fn reserve_gang_on(&mut self, id: &JobId, attempt: Attempt, machine_ids: &[MachineId]) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        if machine_ids.len() != job.record.tasks as usize
            || !self.meets_zone_constraint(job, machine_ids)
            || !self.all_fit(job, machine_ids)
        {
            return false;
        }
        for (index, machine_id) in (0..).zip(machine_ids) {
            let task = TaskAttempt { index, attempt };
            self.reserve_on(id, task, machine_id.clone());
        }
        true
    }

    /// Whether the machines are in one zone, if the gang requires that.
    fn meets_zone_constraint(&self, job: &Job, machine_ids: &[MachineId]) -> bool {
        let zone =
            |machine_id: &MachineId| self.machines.get(machine_id).map(|machine| &machine.zone);
        let first_zone = machine_ids.first().and_then(zone);
        !job.spec.one_zone || machine_ids.iter().all(|other| zone(other) == first_zone)
    }

    /// Whether each of the machines is allowed for the gang and has the resources for one of its
    /// tasks.
    fn all_fit(&self, job: &Job, machine_ids: &[MachineId]) -> bool {
        let raise_quota_for = Some(job.record.tasks);
        let request = PlacementRequest::new(job, self.shards_without_quota(job, raise_quota_for));
        let fits = |machine_id: &MachineId| {
            self.machines.get(machine_id).is_some_and(|machine| {
                self.is_schedulable(machine)
                    && request.allows(machine)
                    && job
                        .spec
                        .resources
                        .fits_in(self.available_for(machine, &job.id))
                    && job
                        .spec
                        .allows(&machine.machine_type, &machine.zone, machine.spot)
            })
        };
        machine_ids.iter().all(fits)
    }

    /// Places the tasks one after the other. If one fits on no machine, the placements of the
    /// others are cancelled. A gang that requires a single zone tries the zones in turn.
    fn place_gang_task_by_task(
        &mut self,
        id: &JobId,
        attempt: Attempt,
        query: MachineQuery,
    ) -> Result<(), BTreeSet<Check>> {
        let Some(job) = self.jobs.get(id) else {
            return Ok(());
        };
        let tasks = job.record.tasks;
        let zones: Vec<Option<Zone>> = if job.spec.one_zone && tasks > 1 {
            let zones = self.zones_by_capacity(id, query.scope);
            zones.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        let mut rejected_by = BTreeSet::from([Check::Machine, Check::Resources]);
        for zone in zones {
            let placed = (0..tasks).try_for_each(|index| {
                let query = MachineQuery {
                    zone: zone.as_ref(),
                    // The remaining tasks have to fit within the limit.
                    raise_quota_for: query.raise_quota_for.map(|tasks| tasks - index),
                    ..query
                };
                let task = TaskAttempt { index, attempt };
                self.reserve(id, task, query).map(|_| ())
            });
            match placed {
                Ok(()) => return Ok(()),
                Err(checks) => {
                    rejected_by.extend(checks);
                    self.jobs.discard_all_changes(id);
                }
            }
        }
        Err(rejected_by)
    }
}
