//! Machines for a gang: either all of its tasks are reserved together, or none is. A gang of many pages is written by
//! several transactions; if one of them fails, the rest is placed in the same attempt, by any controller that is
//! responsible for the job, or the whole gang is taken back after [`GANG_PLACEMENT_TIMEOUT`].

use std::collections::BTreeSet;

use super::TaskAttempt;
use crate::controller::Controller;
use crate::controller::candidates::{MachineQuery, MachineScope};
use crate::cycle::PlacementRequest;
use crate::jobs::cache::{GangPlacement, Job};
use crate::queue::Check;
use crate::types::{Attempt, JobId, MachineId, Millis, Zone};

/// After this long without progress the rest of a gang that is placed in part may be placed by another controller than
/// the one that began.
const GANG_RESUME_DELAY: Millis = Millis(1_000);
/// After this long without progress a gang that is placed in part is taken back, since it uses resources that other
/// jobs may need. A new leader places the rest sooner.
const GANG_PLACEMENT_TIMEOUT: Millis = Millis(15_000);

impl Controller {
    /// Reserves machines for all tasks of a gang. The leader considers the whole fleet, so a gang
    /// that fits into no single controller's shards can span the shards of several controllers.
    pub(super) fn place_gang(&mut self, id: &JobId) -> Result<(), BTreeSet<Check>> {
        let Some(job) = self.jobs.get(id) else {
            return Ok(());
        };
        let (attempt, is_new) = match job.gang_placement() {
            GangPlacement::Incomplete(attempt) => (attempt, false),
            _ => (Attempt(job.highest_attempt().0 + 1), true),
        };
        let tasks = job.waiting_tasks();
        if self.leading().is_none() {
            let query = MachineQuery::within(MachineScope::Own);
            return self.place_gang_task_by_task(id, attempt, query);
        }
        if is_new
            && tasks > 1
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

    /// Whether a gang was placed in part so recently that another controller may be about to place the rest.
    pub(super) fn may_be_placed_by_another(&self, job: &Job) -> bool {
        let is_incomplete = matches!(job.gang_placement(), GangPlacement::Incomplete(_));
        is_incomplete && self.now.since(job.last_placement_change) < GANG_RESUME_DELAY
    }

    /// Whether the rest of a gang that is placed in part may still be placed in the same attempt.
    pub(in crate::controller) fn gang_is_being_placed(&self, job: &Job) -> bool {
        self.now.since(job.last_placement_change) < GANG_PLACEMENT_TIMEOUT
    }

    /// The zones to try for a gang, in order: one that requires a single zone has to be placed where its other tasks
    /// are, if there are any. `None`: any zone.
    fn zones_for_gang(&mut self, id: &JobId, scope: MachineScope) -> Vec<Option<Zone>> {
        let job = self.jobs.get(id);
        let Some(job) = job.filter(|job| job.spec.one_zone && job.is_multi_task_gang()) else {
            return vec![None];
        };
        let placed_in = job.placements().map(|(_, placement)| &placement.shard.zone);
        if let Some(zone) = placed_in.min() {
            return vec![Some(zone.clone())];
        }
        let zones = self.zones_by_capacity(id, scope);
        zones.into_iter().map(Some).collect()
    }

    /// Places the tasks that wait one after the other. If one fits on no machine, the placements of the
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
        let waiting = job.next_waiting(job.record.tasks as usize);
        let zones = self.zones_for_gang(id, query.scope);
        let mut rejected_by = BTreeSet::from([Check::Machine, Check::Resources]);
        for zone in zones {
            let placed = (0..).zip(&waiting).try_for_each(|(reserved, (index, _))| {
                let query = MachineQuery {
                    zone: zone.as_ref(),
                    // The remaining tasks have to fit within the limit.
                    raise_quota_for: query.raise_quota_for.map(|tasks| tasks - reserved),
                    ..query
                };
                let index = *index;
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
