//! Invariants of running tasks: no task runs twice or long after its cancellation, each runs on a machine that its
//! job allows, and each group of teams stays within its limits.

use std::collections::{BTreeMap, HashMap};

use jaspertiller::jobs::JobSpec;
use jaspertiller::types::{JobId, MachineId, Millis, Resources, TaskId, Team};

use super::{Group, Rules};
use crate::machines::Machines;

/// A running task and its machine.
type PlacedTask<'a> = (&'a MachineId, &'a TaskId);

impl Rules {
    /// Checks all machines after a step in which the tasks in `started` began to run.
    pub fn check(&mut self, started: &[(MachineId, TaskId)], machines: &Machines, now: Millis) {
        self.starts += started.len() as u64;
        let running: Vec<PlacedTask> = machines.tasks_started(now).collect();
        self.check_cancelled(&running, now);
        if started.is_empty() {
            return;
        }
        let tasks_by_job = tasks_of_started_jobs(started, &running);
        for (machine_id, task) in started {
            self.first_start.entry(task.job.clone()).or_insert(now);
            let tasks_of_job = tasks_by_job.get(&task.job).map_or(&[][..], Vec::as_slice);
            self.check_runs_once(machine_id, task, tasks_of_job, now);
            self.check_placement(machine_id, task, tasks_of_job, machines);
        }
        self.check_quotas(&running, machines, now);
    }

    /// Checks that no task runs long after a response reported its job as cancelled.
    fn check_cancelled(&mut self, running: &[PlacedTask], now: Millis) {
        for (machine_id, task) in running {
            let cancelled_at = self.aborted.get(&task.job);
            if cancelled_at.is_some_and(|at| now.since(*at) > self.cancel_limit) {
                self.record_violation(
                    "ran_cancelled",
                    format!("{task} on {machine_id} at {}", now.0),
                );
            }
        }
    }

    /// Checks that a task that started does not also run on another machine.
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
            self.record_violation(
                "ran_twice",
                format!("{task} on {machine_id} and {other_machine} at {at}"),
            );
        }
    }

    /// Checks that a task that started belongs to a known job, and that the job allows its machine.
    fn check_placement(
        &mut self,
        machine_id: &MachineId,
        task: &TaskId,
        tasks_of_job: &[PlacedTask],
        machines: &Machines,
    ) {
        let Some(job) = machines.jobs.get(&task.job) else {
            return self.record_violation("invented", format!("{task} started"));
        };
        if let Some(why) = placement_error(machine_id, task, &job.spec, tasks_of_job, machines) {
            self.record_violation("wrong_place", why);
        }
    }

    /// Checks that the tasks of each group of teams stay within the group's limits.
    fn check_quotas(&mut self, running: &[PlacedTask], machines: &Machines, now: Millis) {
        let used = usage_by_team(running, machines);
        for index in 0..self.groups.len() {
            let group = &self.groups[index];
            let amounts = group.teams.iter().filter_map(|team| used.get(team));
            let sum = amounts.fold(Resources::default(), |sum, resources| sum.plus(*resources));
            if group.allows(sum) {
                continue;
            }
            let tasks = tasks_of_group(group, running, machines);
            let violation = format!("{} uses {sum:?} at {}: {tasks:?}", group.name, now.0);
            self.record_violation("quota", violation);
        }
    }
}

/// All running tasks of the jobs in `started`, by job.
fn tasks_of_started_jobs<'a>(
    started: &'a [(MachineId, TaskId)],
    running: &[PlacedTask<'a>],
) -> HashMap<&'a JobId, Vec<PlacedTask<'a>>> {
    let mut tasks_by_job: HashMap<&JobId, Vec<PlacedTask>> = HashMap::new();
    for (_, task) in started {
        tasks_by_job.entry(&task.job).or_default();
    }
    for (machine_id, task) in running {
        if let Some(tasks) = tasks_by_job.get_mut(&task.job) {
            tasks.push((machine_id, task));
        }
    }
    tasks_by_job
}

/// Resources that running tasks use, by team.
fn usage_by_team<'a>(
    running: &[PlacedTask],
    machines: &'a Machines,
) -> BTreeMap<&'a Team, Resources> {
    let mut used: BTreeMap<&Team, Resources> = BTreeMap::new();
    for (_, task) in running {
        if let Some(job) = machines.jobs.get(&task.job) {
            let sum = used.entry(&job.spec.team).or_default();
            *sum = sum.plus(job.spec.resources);
        }
    }
    used
}

/// Running tasks of a group's teams, each with its machine, for the text of a violation.
fn tasks_of_group(group: &Group, running: &[PlacedTask], machines: &Machines) -> Vec<String> {
    let is_in_group = |id: &JobId| {
        let job = machines.jobs.get(id);
        job.is_some_and(|job| group.teams.contains(&job.spec.team))
    };
    running
        .iter()
        .filter(|(_, task)| is_in_group(&task.job))
        .map(|(machine_id, task)| format!("{task} on {machine_id}"))
        .collect()
}

/// Why a task may not run on its machine, judged by the machine's kind and zone and by the job's other tasks, or
/// `None` if it may.
fn placement_error(
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
    let tasks_in_zone = zones.get(&machine.zone).copied().unwrap_or_default();
    let in_several_zones = spec.one_zone && zones.len() > 1;
    let zone_is_full = spec.spread && tasks_in_zone > spec.max_tasks_per_zone();
    (in_several_zones || zone_is_full).then(|| format!("{task} in {zones:?}"))
}
