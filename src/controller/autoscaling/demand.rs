//! Demand for machines: the tasks that wait now, and the headroom for the work that is expected
//! while a machine boots.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::{Autoscaler, Controller};
use crate::fleet::MachineTypeSpec;
use crate::fleet::plan::{Headroom, Need};
use crate::jobs::cache::Job;
use crate::jobs::{JobSpec, PriorityClass};
use crate::settings::Objective;
use crate::types::{JobId, Millis, Resources, Team};

/// Machines are planned for at most this many tasks of a job at a time, which bounds the work of a
/// plan; later plans cover the remaining tasks.
const MAX_TASKS_PER_NEED: u32 = 2_000;
/// Approximate time, in seconds, that a fast image fetch and the first heartbeat take.
const QUICK_FETCH_S: f64 = 8.0;
/// The kind of objective that limits how long work waits before it starts.
const START_OBJECTIVE: &str = "wait";
/// The rate of arrivals is measured over this time.
pub(super) const ARRIVAL_WINDOW: Millis = Millis(180_000);
/// The rate of arrivals is measured over at least this time: a shorter sample is not
/// representative.
const MIN_ARRIVAL_WINDOW: Millis = Millis(30_000);
/// Headroom covers this many standard deviations of the work that arrives and ends while a machine
/// boots.
const HEADROOM_DEVIATIONS: f64 = 2.0;

/// A submitted job that should be able to start without waiting for a machine to boot.
#[derive(Debug)]
pub(in crate::controller) struct Arrival {
    /// When the job was submitted.
    at: Millis,
    /// How many machines its tasks fill, in machines of the type of which they need the fewest.
    machines: f64,
    /// Size of its image, in GB.
    image_gb: f64,
    /// Whether it may run on spot machines.
    spot: bool,
    /// Whether it may preempt other work.
    urgent: bool,
}

impl Arrival {
    fn new(job: &Job, type_specs: &[MachineTypeSpec]) -> Self {
        let machines_per_task = type_specs
            .iter()
            .filter(|type_spec| job.spec.resources.fits_in(type_spec.resources))
            .map(|type_spec| job.spec.resources.dominant_share(type_spec.resources))
            .fold(1.0, f64::min);
        Self {
            at: job.first_seen,
            machines: machines_per_task * f64::from(job.record.tasks),
            image_gb: job.spec.image_gb,
            spot: job.spec.spot,
            urgent: is_urgent(&job.spec),
        }
    }
}

/// Whether tasks of the job may preempt others.
fn is_urgent(spec: &JobSpec) -> bool {
    spec.priority >= PriorityClass::Urgent
}

/// Sums over a set of arrivals: of their machines, and of the squares of these.
#[derive(Default)]
struct ArrivalSums {
    machines: f64,
    squared_machines: f64,
}

impl ArrivalSums {
    fn of<'a>(arrivals: impl Iterator<Item = &'a Arrival>) -> Self {
        arrivals.fold(Self::default(), |sums, arrival| Self {
            machines: sums.machines + arrival.machines,
            squared_machines: sums.squared_machines + arrival.machines * arrival.machines,
        })
    }

    /// Machines to keep ready for the arrivals in `fraction` of the observed time. In a large fleet
    /// about as much work ends as arrives, so only the fluctuation of both has to be covered.
    fn headroom(&self, fraction: f64) -> u32 {
        let deviation: f64 = (2.0 * self.squared_machines * fraction).sqrt();
        (self.machines * fraction)
            .min(HEADROOM_DEVIATIONS * deviation)
            .round() as u32
    }
}

impl Autoscaler {
    /// For how long arrivals have been observed. A controller that has just started counts as
    /// having observed for [`MIN_ARRIVAL_WINDOW`], since work continued to arrive at the others.
    fn arrivals_observed_for(&self, now: Millis) -> Millis {
        let observed = now.since(self.arrivals_since);
        Millis(observed.0.clamp(MIN_ARRIVAL_WINDOW.0, ARRIVAL_WINDOW.0))
    }

    /// Whole machines to keep ready for the work that is expected to arrive while a machine boots.
    pub(super) fn headroom(&self, now: Millis) -> Vec<Headroom> {
        let cheapest = self
            .type_specs
            .iter()
            .min_by(|a, b| a.price.total_cmp(&b.price));
        let Some(type_spec) = cheapest else {
            return Vec::new();
        };
        let fraction = self.lead_time_s(type_spec) / self.arrivals_observed_for(now).secs();
        [false, true]
            .map(|spot| Headroom {
                spot,
                machines: self.arrivals_on(spot).headroom(fraction),
                empty: self.arrivals_without_preemption_on(spot).headroom(fraction),
                resources: type_spec.resources,
            })
            .to_vec()
    }

    /// Seconds from a rental until the machine has booted and fetched an image of mean size.
    fn lead_time_s(&self, type_spec: &MachineTypeSpec) -> f64 {
        let images_gb: f64 = self.arrivals.iter().map(|arrival| arrival.image_gb).sum();
        let mean_gb = images_gb / self.arrivals.len().max(1) as f64;
        type_spec.boot_s + QUICK_FETCH_S + type_spec.slow_fetch_s(mean_gb)
    }

    /// Sums over the arrivals that may run on spot machines, or over all others.
    fn arrivals_on(&self, spot: bool) -> ArrivalSums {
        ArrivalSums::of(self.arrivals.iter().filter(|arrival| arrival.spot == spot))
    }

    /// Like [`Self::arrivals_on`], without arrivals that may preempt other work.
    fn arrivals_without_preemption_on(&self, spot: bool) -> ArrivalSums {
        ArrivalSums::of(
            self.arrivals
                .iter()
                .filter(|arrival| arrival.spot == spot && !arrival.urgent),
        )
    }
}

impl Controller {
    /// Adds jobs that were submitted since the last call to the arrivals, and drops old arrivals.
    pub(super) fn record_arrivals(&mut self) {
        let now = self.now;
        let observed_until = self.autoscaler.arrivals_until;
        let arrived: Vec<Arrival> = self
            .jobs
            .iter()
            .filter(|job| job.first_seen > observed_until && job.first_seen <= now)
            .filter(|job| is_urgent(&job.spec) || self.has_start_objective(&job.spec))
            .map(|job| Arrival::new(job, &self.autoscaler.type_specs))
            .collect();
        self.autoscaler.arrivals.extend(arrived);
        self.autoscaler.arrivals_until = now;
        self.autoscaler
            .arrivals
            .retain(|arrival| now.since(arrival.at) <= ARRIVAL_WINDOW);
    }

    /// Whether an objective limits how long work of the job's class waits for its start.
    fn has_start_objective(&self, spec: &JobSpec) -> bool {
        let applies = |objective: &Objective| {
            objective.kind == START_OBJECTIVE && objective.class.as_ref() == Some(&spec.class)
        };
        self.settings.deployment.objectives.iter().any(applies)
    }

    /// Tasks that need machines, those of the highest priority first.
    pub(super) fn needs(&self) -> Vec<Need<'_>> {
        let mut waiting: Vec<&Job> = self
            .jobs
            .iter()
            .filter(|job| job.is_active() && job.waiting_tasks() > 0)
            .collect();
        waiting.sort_by_key(|job| (Reverse(job.spec.priority), job.first_seen));
        let mut planned_usage = BTreeMap::new();
        let mut needs = Vec::new();
        for job in waiting {
            if self
                .scheduler
                .nominations
                .machines_for(&job.id, self.now)
                .is_some()
            {
                // Preemption is already freeing resources for this job.
                continue;
            }
            needs.push(Need {
                spec: &job.spec,
                count: self.tasks_within_quota(job, &mut planned_usage),
                spot_only: false,
            });
        }
        needs.extend(self.needs_to_move_to_spot());
        needs
    }

    /// How many waiting tasks of a job fit into its quotas. `planned_usage` is each team's usage
    /// including everything planned so far; these tasks are added to it.
    fn tasks_within_quota<'a>(
        &'a self,
        job: &Job,
        planned_usage: &mut BTreeMap<&'a Team, Resources>,
    ) -> u32 {
        let resources = job.spec.resources;
        let mut count = job.waiting_tasks().min(MAX_TASKS_PER_NEED);
        for team in self.limits(job) {
            let used = planned_usage
                .entry(&team.name)
                .or_insert_with(|| self.jobs.usage(&team.name));
            count = count.min(crate::quota::headroom(*used, team).fit_count(resources));
        }
        for team in self.limits(job) {
            if let Some(used) = planned_usage.get_mut(&team.name) {
                *used = used.plus(resources.times(f64::from(count)));
            }
        }
        count
    }

    /// Tasks that may run on spot machines but occupy ordinary ones that would otherwise be ready.
    fn needs_to_move_to_spot(&self) -> Vec<Need<'_>> {
        let ordinary = self
            .autoscaler
            .fleet
            .machines
            .iter()
            .filter(|(_, rented)| !rented.spot)
            .map(|(machine_id, _)| machine_id);
        let preemptible = ordinary.filter(|machine_id| {
            !self.autoscaler.drains.contains(*machine_id) && self.jobs.is_preemptible(machine_id)
        });
        let mut counts: BTreeMap<&JobId, u32> = BTreeMap::new();
        for (job_id, _) in preemptible.flat_map(|machine_id| self.jobs.tasks_on(machine_id)) {
            *counts.entry(job_id).or_default() += 1;
        }
        counts
            .into_iter()
            .filter_map(|(job_id, count)| Some((&self.jobs.get(job_id)?.spec, count)))
            .filter(|(spec, _)| spec.spot)
            .map(|(spec, count)| Need {
                spec,
                count,
                spot_only: true,
            })
            .collect()
    }
}
