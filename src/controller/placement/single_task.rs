//! Machines for tasks that are placed one by one, and the reservation of a machine for a task.

use std::collections::BTreeSet;

use super::TaskAttempt;
use crate::controller::Controller;
use crate::controller::candidates::{MachineQuery, MachineScope};
use crate::cycle::{self, PlacementRequest};
use crate::jobs::cache::{GangPlacement, Job, TaskChange};
use crate::jobs::{JobKind, Placement};
use crate::queue::Check;
use crate::quota;
use crate::settings::TeamSettings;
use crate::types::{JobId, MachineId, Resources};

/// Maximum number of further tasks that a cycle places on the machine of its first task, which
/// limits the size of commits.
const MAX_FILL_TASKS: usize = 64;

impl Controller {
    /// Reserves machines for the next task of a job, or for all tasks of a gang. On failure,
    /// returns the checks that rejected the machines.
    pub(super) fn place(&mut self, id: &JobId) -> Result<(), BTreeSet<Check>> {
        let Some(job) = self.jobs.get(id) else {
            return Ok(());
        };
        let gang = job.spec.kind == JobKind::Gang;
        if gang && !self.may_place_gang(job) {
            return Err(BTreeSet::from([Check::EarlierAttempt]));
        }
        let tasks = if gang { job.waiting_tasks() } else { 1 };
        let wanted = job.spec.resources.times(f64::from(tasks));
        if !self.within_team_limits(job, wanted) {
            return Err(BTreeSet::from([Check::TeamQuota]));
        }
        if gang {
            self.place_gang(id)
        } else {
            self.place_next_task(id)
        }
    }

    /// Whether the waiting tasks of a gang may be placed: no task is placed, or the others may join the placed ones in
    /// their attempt.
    fn may_place_gang(&self, job: &Job) -> bool {
        let may_join = match job.gang_placement() {
            GangPlacement::None => job.placed == 0,
            GangPlacement::Incomplete(_) => self.gang_is_being_placed(job),
            GangPlacement::Complete | GangPlacement::Broken => false,
        };
        may_join && job.pending_changes.is_empty()
    }

    /// Whether a job may use this much more without exceeding the limit of its team, or of a node
    /// above the team in the quota tree.
    fn within_team_limits(&self, job: &Job, wanted: Resources) -> bool {
        let within = |team: &TeamSettings| {
            let used = self.jobs.usage(&team.name);
            quota::within_limit(used.plus(wanted), team)
        };
        self.limits(job).iter().all(within)
    }

    /// Reserves a machine for the next task of a job.
    fn place_next_task(&mut self, id: &JobId) -> Result<(), BTreeSet<Check>> {
        let next = self.jobs.get(id).map(|job| job.next_waiting(1));
        let Some((index, last_attempt)) = next.unwrap_or_default().first().copied() else {
            return Ok(());
        };
        let task = TaskAttempt::after(index, last_attempt);
        match self.reserve(id, task, MachineQuery::within(MachineScope::Own)) {
            Ok(machine_id) => {
                self.fill_machine(id, &machine_id);
                Ok(())
            }
            Err(checks) => self.place_beyond_allocation(id, task, checks),
        }
    }

    /// Where shards' quota allocations are used up, the leader places a task beyond them, within
    /// the team's limit. `checks` are those that rejected this controller's machines.
    fn place_beyond_allocation(
        &mut self,
        id: &JobId,
        task: TaskAttempt,
        mut checks: BTreeSet<Check>,
    ) -> Result<(), BTreeSet<Check>> {
        let limited = self
            .jobs
            .get(id)
            .is_some_and(|job| !self.limits(job).is_empty());
        if self.leading().is_none() || !limited {
            return Err(checks);
        }
        match self.choose_machine(id, MachineQuery::within(MachineScope::Others)) {
            Err(other_checks) => checks.extend(other_checks),
            // A machine of another controller is suitable: the job is forwarded there.
            Ok(_) => return Err(checks),
        }
        if !checks.contains(&Check::ShardQuota) {
            return Err(checks);
        }
        let query = MachineQuery {
            raise_quota_for: Some(1),
            ..MachineQuery::within(MachineScope::All)
        };
        let reserved = self.reserve(id, task, query);
        reserved.map(|_| ()).map_err(|_| checks)
    }

    /// Places further tasks of an array on the machine that was just chosen for one, as long as
    /// separate cycles would choose it again. A cycle searches the whole index, and an array may
    /// have 25,000 tasks.
    fn fill_machine(&mut self, id: &JobId, machine_id: &MachineId) {
        let waiting = self
            .jobs
            .get(id)
            .map(|job| job.next_waiting(MAX_FILL_TASKS));
        for (index, last_attempt) in waiting.unwrap_or_default() {
            if !self.would_choose_again(id, machine_id) {
                return;
            }
            let task = TaskAttempt::after(index, last_attempt);
            self.reserve_on(id, task, machine_id.clone());
        }
    }

    /// Whether a cycle would choose the machine of the last cycle again: its score is no lower than
    /// before, and no other machine's score has changed.
    fn would_choose_again(&self, id: &JobId, machine_id: &MachineId) -> bool {
        let (Some(job), Some(machine)) = (self.jobs.get(id), self.machines.get(machine_id)) else {
            return false;
        };
        let spec = &job.spec;
        if spec.kind != JobKind::Array || spec.one_zone || spec.spread {
            return false;
        }
        let request = PlacementRequest::new(job, self.shards_without_quota(job, None));
        let mut candidate = self.candidate(job, machine);
        if !self.within_team_limits(job, spec.resources)
            || cycle::filter(&request, &candidate).is_some()
        {
            return false;
        }
        let failed_here = machine.failure_streaks.contains_key(id);
        let score = cycle::score(spec, &candidate, failed_here);
        candidate.available = candidate.available.plus(spec.resources);
        let score_before = cycle::score(spec, &candidate, failed_here);
        let worse = score < score_before;
        !worse
    }

    /// Chooses a machine for a task and reserves it.
    pub(super) fn reserve(
        &mut self,
        id: &JobId,
        task: TaskAttempt,
        query: MachineQuery,
    ) -> Result<MachineId, BTreeSet<Check>> {
        let machine_id = self.choose_machine(id, query)?;
        self.reserve_on(id, task, machine_id.clone());
        Ok(machine_id)
    }

    /// Records the placement of a task on a machine. From now on the task counts towards the usage
    /// of the machine and of its team; a commit writes the placement.
    pub(super) fn reserve_on(&mut self, id: &JobId, task: TaskAttempt, machine_id: MachineId) {
        let (Some(machine), Some(job)) = (self.machines.get(&machine_id), self.jobs.get(id)) else {
            return;
        };
        let TaskAttempt { index, attempt } = task;
        let cached = machine.images.contains_key(&job.spec.image);
        let (class, age) = (&job.spec.class, self.now.since(job.first_seen).secs());
        let image = job.spec.image.as_str();
        tracing::debug!(
            job = %id, class, index, %machine_id, image, cached, age,
            "machine reserved for task"
        );
        let placement = Placement {
            machine_id: machine_id.clone(),
            shard: machine.shard.clone(),
            agent_epoch: machine.agent_epoch,
            attempt,
        };
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        self.jobs
            .add_pending_change(id, index, TaskChange::Place(placement));
        if let Some(machine) = self.machines.get_mut(&machine_id) {
            machine.add_pending_fetch(&image, image_gb, self.now);
        }
    }
}
