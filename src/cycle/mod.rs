//! One scheduling cycle as pure functions: a filter that says whether a machine is feasible for a
//! task, and a score that ranks the feasible ones. The caller passes the machines one by one.

pub mod index;

use std::collections::{BTreeMap, BTreeSet};

use crate::jobs::JobSpec;
use crate::jobs::cache::Job;
use crate::queue::Check;
use crate::types::{MachineId, Resources, ShardId, Zone};
use crate::workers::Machine;

/// A machine, with the state that the filter and the scores evaluate.
pub struct Candidate<'a> {
    /// The machine itself: its type, zone, images and failures.
    pub machine: &'a Machine,
    /// Its resources when it is empty.
    pub capacity: Resources,
    /// The resources on it that the job may use now.
    pub available: Resources,
    /// All tasks on it can be preempted by urgent work at little loss, so that for urgent work it
    /// is as good as an empty machine.
    pub only_preemptible: bool,
    /// Seconds until the job's image would be in the machine's cache. Concurrent fetches share the
    /// machine's fetch rate.
    pub image_s: f64,
    /// Seconds that a fetch of the image takes while the machine fetches nothing else.
    pub fetch_s: f64,
    /// Fraction of the machine, from 0 to 1, that is allocated to tasks which cannot be preempted at
    /// little loss.
    pub non_preemptible_share: f64,
}

// Weights of the scores. Scores without a unit lie between 0 and 1.

/// The image is in the machine's cache.
const CACHED_IMAGE_WEIGHT: f64 = 1.0;
/// Penalty for each second until the image is cached: weighs a faster start against the scores that
/// reduce the number of machines in use.
const IMAGE_DELAY_WEIGHT_PER_S: f64 = 0.4;
/// Bin packing: fuller machines go first.
const BIN_PACKING_WEIGHT: f64 = 2.0;
/// Jobs that allow spot machines prefer them, which leaves on-demand machines to jobs that do not.
const SPOT_MATCH_WEIGHT: f64 = 1.5;
/// Penalty for each second of a fetch: keeps small long-running tasks apart where fetches are slow,
/// since the images on a machine full of them are of no use to other jobs. Scaled by the fraction of
/// the machine allocated to tasks that cannot be preempted at little loss.
const LONG_RUNNING_SPREAD_WEIGHT_PER_S: f64 = 0.4;
/// Penalty for each second of a fetch: spreads short tasks that have to fetch their image where
/// fetches are slow, since later tasks then find the image on more machines. Scaled by the fraction
/// of the machine in use.
const COLD_SPREAD_WEIGHT_PER_S: f64 = 0.08;
/// No task of the job has failed on the machine.
const NOT_FAILED_WEIGHT: f64 = 4.0;
/// Keeps small long-running tasks off machines that urgent work may need as a whole.
const AVOID_FRAGMENTATION_WEIGHT: f64 = 2.5;
/// A task that requests less than this fraction of a machine is small.
const SMALL_TASK_SHARE: f64 = 0.5;

/// A request to place a task. Values that are the same for all machines are computed once.
pub struct PlacementRequest<'a> {
    /// The job of the task.
    pub job: &'a Job,
    /// How many of the job's tasks are in each zone; empty for jobs that are not bound to zones.
    tasks_by_zone: BTreeMap<Zone, u32>,
    /// Shards where the team's quota allocation is used up.
    full_shards: Vec<ShardId>,
    /// Empty machines are rejected, because no more of them are ready than urgent work needs.
    pub avoids_empty_machines: bool,
}

impl<'a> PlacementRequest<'a> {
    /// A request for the next task of a job, whose team has used up its quota allocation in
    /// `full_shards`.
    pub fn new(job: &'a Job, full_shards: Vec<ShardId>) -> Self {
        let bound_to_zones = job.spec.one_zone || job.spec.spread;
        let tasks_by_zone = if bound_to_zones {
            job.tasks_per_zone()
        } else {
            BTreeMap::new()
        };
        Self {
            job,
            tasks_by_zone,
            full_shards,
            avoids_empty_machines: false,
        }
    }

    /// Whether the machine's zone and shard are open to the job.
    pub fn allows(&self, machine: &Machine) -> bool {
        self.shard_rejection(&machine.shard).is_none()
    }

    /// The check that rejects all machines of a shard; `None` if the shard is open to the job.
    pub fn shard_rejection(&self, shard: &ShardId) -> Option<Check> {
        if !self.zone_allowed(&shard.zone) {
            return Some(Check::Zones);
        }
        self.full_shards
            .contains(shard)
            .then_some(Check::ShardQuota)
    }

    /// Whether the job may have another task in a zone. `oneZone` and `spread` count tasks of
    /// earlier attempts, too, until they are proven to have left their machines.
    pub fn zone_allowed(&self, zone: &Zone) -> bool {
        let spec = &self.job.spec;
        if spec.one_zone && self.tasks_by_zone.keys().any(|other| other != zone) {
            return false;
        }
        let tasks = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        !spec.spread || tasks < spec.max_tasks_per_zone()
    }
}

/// The check that rejects a machine for the task; `None` if the machine is feasible.
pub fn filter(request: &PlacementRequest, candidate: &Candidate) -> Option<Check> {
    let (spec, machine) = (&request.job.spec, candidate.machine);
    let allowed = spec.allows(&machine.machine_type, &machine.zone, machine.spot);
    if !spec.resources.fits_in(candidate.available) {
        let fits_when_empty = spec.resources.fits_in(candidate.capacity);
        return Some(if fits_when_empty && allowed {
            Check::Resources
        } else {
            Check::Machine
        });
    }
    if !allowed {
        return Some(Check::Machine);
    }
    if let Some(check) = request.shard_rejection(&machine.shard) {
        return Some(check);
    }
    if request.avoids_empty_machines && candidate.available == candidate.capacity {
        return Some(Check::Resources);
    }
    None
}

/// The weighted sum of a machine's scores for a task; the highest is the best.
pub fn score(spec: &JobSpec, candidate: &Candidate, failed_here: bool) -> f64 {
    let machine = candidate.machine;
    let cached = machine.images.contains_key(&spec.image);
    let used_share = candidate
        .capacity
        .minus(candidate.available)
        .plus(spec.resources)
        .dominant_share(candidate.capacity);
    let small = spec.resources.dominant_share(candidate.capacity) < SMALL_TASK_SHARE;
    let small_long_running = !spec.is_cheaply_preemptible() && small;
    let fragments_machine = candidate.only_preemptible && small_long_running;
    let cold_crowding =
        unit_score(spec.is_cheaply_preemptible() && !cached) * used_share * candidate.fetch_s;
    let long_running_crowding =
        unit_score(small_long_running) * candidate.non_preemptible_share * candidate.fetch_s;
    CACHED_IMAGE_WEIGHT * unit_score(cached) - IMAGE_DELAY_WEIGHT_PER_S * candidate.image_s
        + BIN_PACKING_WEIGHT * used_share
        + SPOT_MATCH_WEIGHT * unit_score(machine.spot == spec.spot)
        + NOT_FAILED_WEIGHT * unit_score(!failed_here)
        + AVOID_FRAGMENTATION_WEIGHT * unit_score(!fragments_machine)
        - LONG_RUNNING_SPREAD_WEIGHT_PER_S * long_running_crowding
        - COLD_SPREAD_WEIGHT_PER_S * cold_crowding
}

fn unit_score(holds: bool) -> f64 {
    f64::from(u8::from(holds))
}

/// Selects the best of the candidates that are passed in one by one, and collects the checks that
/// rejected the others.
pub struct Choice<'a> {
    rejected_by: BTreeSet<Check>,
    best: Option<(f64, &'a MachineId)>,
}

impl Default for Choice<'_> {
    fn default() -> Self {
        Self {
            rejected_by: BTreeSet::from([Check::Machine]),
            best: None,
        }
    }
}

impl<'a> Choice<'a> {
    /// Records that a check rejected machines.
    pub fn record_rejection(&mut self, check: Check) {
        self.rejected_by.insert(check);
    }

    /// Evaluates a candidate, and returns whether it is feasible. Of machines with equal scores, the
    /// one with the least id is selected.
    pub fn consider(&mut self, request: &PlacementRequest, candidate: &Candidate<'a>) -> bool {
        if let Some(check) = filter(request, candidate) {
            self.record_rejection(check);
            return false;
        }
        let (job, machine) = (request.job, candidate.machine);
        let score = score(
            &job.spec,
            candidate,
            machine.failure_streaks.contains_key(&job.id),
        );
        let is_better_than = |(best_score, machine_id): (f64, &MachineId)| {
            score > best_score || (score == best_score && machine.machine_id < *machine_id)
        };
        if self.best.is_none_or(is_better_than) {
            self.best = Some((score, &machine.machine_id));
        }
        true
    }

    /// The best machine; if none was feasible, the checks that rejected them.
    pub fn into_result(self) -> Result<MachineId, BTreeSet<Check>> {
        self.best
            .map(|(_, machine_id)| machine_id.clone())
            .ok_or(self.rejected_by)
    }
}

#[cfg(test)]
mod tests;
