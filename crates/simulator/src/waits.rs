//! Finds jobs that wait although a machine fits them, from the true state of the machines and not from the view of
//! any controller.

use std::collections::{BTreeMap, HashSet};

use jaspertiller::jobs::{JobKind, JobSpec};
use jaspertiller::types::{JobId, Millis, Resources, TaskId, Zone};

use crate::machines::Machines;
use crate::rules::{Group, Rules};

/// A healthy machine with the resources that are free on it.
struct FreeMachine<'a> {
    zone: &'a Zone,
    spot: bool,
    resources: Resources,
}

/// Jobs with a waiting task (for a gang: all waiting tasks together) for which suitable machines have room and the
/// team's limits have quota.
pub fn could_run(machines: &Machines, rules: &Rules, now: Millis) -> Vec<JobId> {
    let allocated: HashSet<&TaskId> = machines.tasks_allocated(now).collect();
    let available: Vec<FreeMachine> = machines
        .healthy(now)
        .map(|(machine, resources)| FreeMachine {
            zone: &machine.zone,
            spot: machine.spot,
            resources,
        })
        .collect();
    let has_ended = |id: &JobId| rules.done.contains(id) || rules.wanted_aborts.contains_key(id);
    let open = rules.accepted.iter().filter(|id| !has_ended(id));
    let able = open.filter(|id| {
        let Some(job) = machines.jobs.get(*id) else {
            return false;
        };
        let task = |index| TaskId {
            job: (*id).clone(),
            index,
        };
        let waits = |task: &TaskId| !machines.completed.contains(task) && !allocated.contains(task);
        let waiting = (0..job.spec.tasks).map(task).filter(waits).count() as u32;
        let together = if job.spec.kind == JobKind::Gang {
            waiting
        } else {
            1
        };
        waiting > 0
            && !job.broken
            && rules.groups.iter().all(|group| {
                !group.teams.contains(&job.spec.team)
                    || has_quota_for(
                        group,
                        machines,
                        &allocated,
                        job.spec.resources.times(f64::from(together)),
                    )
            })
            && fits(&job.spec, id, together, machines, &available, now)
    });
    able.cloned().collect()
}

/// Whether a group's limits leave room for more tasks beside those that are allocated.
fn has_quota_for(
    group: &Group,
    machines: &Machines,
    allocated: &HashSet<&TaskId>,
    more: Resources,
) -> bool {
    let jobs = allocated
        .iter()
        .filter_map(|task| machines.jobs.get(&task.job));
    let used = jobs
        .filter(|job| group.teams.contains(&job.spec.team))
        .fold(more, |sum, job| sum.plus(job.spec.resources));
    group.allows(used)
}

/// Whether healthy machines that the job allows have room for so many more of its tasks.
fn fits(
    spec: &JobSpec,
    id: &JobId,
    tasks: u32,
    machines: &Machines,
    available: &[FreeMachine],
    now: Millis,
) -> bool {
    let mut placed: BTreeMap<&Zone, u32> = BTreeMap::new();
    for (machine_id, _) in machines
        .allocations(now)
        .filter(|(_, task)| task.job == *id)
    {
        *placed.entry(&machines.by_id[machine_id].zone).or_default() += 1;
    }
    let mut room: BTreeMap<&Zone, u32> = BTreeMap::new();
    for machine in available {
        let elsewhere = spec.one_zone && placed.keys().any(|zone| *zone != machine.zone);
        let crowded = spec.spread
            && placed.get(machine.zone).copied().unwrap_or(0) >= spec.max_tasks_per_zone();
        let machine_type = machines.machine_type();
        if spec.allows(machine_type, machine.zone, machine.spot) && !elsewhere && !crowded {
            *room.entry(machine.zone).or_default() += machine.resources.fit_count(spec.resources);
        }
    }
    if spec.one_zone {
        room.values().any(|holds| *holds >= tasks)
    } else {
        room.values().sum::<u32>() >= tasks
    }
}
