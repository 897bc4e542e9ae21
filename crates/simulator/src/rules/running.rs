//! The invariants of running tasks: none twice, none long after its cancellation, each on a machine that its job
//! allows, and each team within its limits.

use std::collections::{BTreeMap, HashMap};

use jaspertiller::jobs::JobSpec;
use jaspertiller::types::{JobId, MachineId, Millis, Resources, TaskId, Team};

use super::{Group, Rules};
use crate::machines::Machines;

/// A task and the machine where it runs.
type PlacedTask<'a> = (&'a MachineId, &'a TaskId);

impl Rules {
    /// Checks all machines after a step in which the tasks `started` began on theirs.
    pub fn check(&mut self, started: &[(MachineId, TaskId)], machines: &Machines, now: Millis) {
        self.starts += started.len() as u64;
        let present: Vec<PlacedTask> = machines.tasks_started(now).collect();
        self.check_cancelled(&present, now);
        if started.is_empty() {
            return;
        }
        let tasks_by_job = tasks_of_started_jobs(started, &present);
        for (machine_id, task) in started {
            self.first_start.entry(task.job.clone()).or_insert(now);
            let tasks_of_job = tasks_by_job.get(&task.job).map_or(&[][..], Vec::as_slice);
            self.check_runs_once(machine_id, task, tasks_of_job, now);
            self.check_place(machine_id, task, tasks_of_job, machines);
        }
        self.check_quotas(&present, machines, now);
    }

    /// No task of a job may run long after its user learned that the job is cancelled.
    fn check_cancelled(&mut self, present: &[PlacedTask], now: Millis) {
        for (machine_id, task) in present {
            let cancelled_at = self.aborted.get(&task.job);
            if cancelled_at.is_some_and(|at| now.since(*at) > self.cancel) {
                self.broken(
                    "ran_cancelled",
                    format!("{task} on {machine_id} at {}", now.0),
                );
            }
        }
    }

    /// A task that started may not run on another machine, too.
    fn check_runs_once(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        tasks_of_job: &[PlacedTask],
        now: Millis,
    ) {
        let elsewhere = tasks_of_job
            .iter()
            .find(|(other_machine, other)| *other == task && *other_machine != machine_id);
        if let Some((other_machine, _)) = elsewhere {
            let at = now.0;
            self.broken(
                "ran_twice",
                format!("{task} on {machine_id} and {other_machine} at {at}"),
            );
        }
    }

    /// A task that started must belong to a known job, on a machine that the job allows.
    fn check_place(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        tasks_of_job: &[PlacedTask],
        machines: &Machines,
    ) {
        let Some(job) = machines.jobs.get(&task.job) else {
            return self.broken("invented", format!("{task} started"));
        };
        if let Some(why) = wrong_place(machine_id, task, &job.spec, tasks_of_job, machines) {
            self.broken("wrong_place", why);
        }
    }

    /// The tasks of each group of teams must stay under the group's limits.
    fn check_quotas(&mut self, present: &[PlacedTask], machines: &Machines, now: Millis) {
        let used = use_by_team(present, machines);
        for index in 0..self.groups.len() {
            let group = &self.groups[index];
            let amounts = group.teams.iter().filter_map(|team| used.get(team));
            let sum = amounts.fold(Resources::default(), |sum, resources| sum.plus(*resources));
            if group.allows(sum) {
                continue;
            }
            let tasks = tasks_of_group(group, present, machines);
            let violation = format!("{} uses {sum:?} at {}: {tasks:?}", group.name, now.0);
            self.broken("quota", violation);
        }
    }
}

/// All tasks present of the jobs of which a task started, by job.
fn tasks_of_started_jobs<'a>(
    started: &'a [(MachineId, TaskId)],
    present: &[PlacedTask<'a>],
) -> HashMap<&'a JobId, Vec<PlacedTask<'a>>> {
    let mut tasks_by_job: HashMap<&JobId, Vec<PlacedTask>> = HashMap::new();
    for (_, task) in started {
        tasks_by_job.entry(&task.job).or_default();
    }
    for (machine_id, task) in present {
        if let Some(tasks) = tasks_by_job.get_mut(&task.job) {
            tasks.push((machine_id, task));
        }
    }
    tasks_by_job
}

/// Resources that the tasks present use, by team.
fn use_by_team<'a>(
    present: &[PlacedTask],
    machines: &'a Machines,
) -> BTreeMap<&'a Team, Resources> {
    let mut used: BTreeMap<&Team, Resources> = BTreeMap::new();
    for (_, task) in present {
        if let Some(job) = machines.jobs.get(&task.job) {
            let sum = used.entry(&job.spec.team).or_default();
            *sum = sum.plus(job.spec.resources);
        }
    }
    used
}

/// The tasks present of a group's teams, each with its machine, for the text of a violation.
fn tasks_of_group(group: &Group, present: &[PlacedTask], machines: &Machines) -> Vec<String> {
    let is_in_group = |id: &JobId| {
        let job = machines.jobs.get(id);
        job.is_some_and(|job| group.teams.contains(&job.spec.team))
    };
    present
        .iter()
        .filter(|(_, task)| is_in_group(&task.job))
        .map(|(machine_id, task)| format!("{task} on {machine_id}"))
        .collect()
}

/// Why a task may not run on its machine, by the machine's kind and zone and by its job's other tasks; none if it may.
fn wrong_place(
    machine_id: &MachineId,
    task: &TaskId,
    spec: &JobSpec,
    tasks_of_job: &[PlacedTask],
    machines: &Machines,
) -> Option<String> {
    let machine = machines.by_id.get(machine_id)?;
    if machine.spot && !spec.spot {
        return Some(format!("{task} on a spot machine"));
    }
    if spec.zone.as_ref().is_some_and(|zone| *zone != machine.zone) {
        return Some(format!("{task} in zone {}", machine.zone));
    }
    let mut zones: BTreeMap<_, u32> = BTreeMap::new();
    for (machine_id, _) in tasks_of_job {
        if let Some(machine) = machines.by_id.get(*machine_id) {
            *zones.entry(&machine.zone).or_default() += 1;
        }
    }
    let here = zones.get(&machine.zone).copied().unwrap_or_default();
    let apart = spec.one_zone && zones.len() > 1;
    let crowded = spec.spread && here > spec.max_tasks_per_zone();
    (apart || crowded).then(|| format!("{task} in {zones:?}"))
}
