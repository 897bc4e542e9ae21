//! Jobs that wait although a machine fits them, by what is really on the machines and not by what any
//! controller believes.

use std::collections::{BTreeMap, HashSet};

use jaspertiller::jobs::{JobKind, JobSpec};
use jaspertiller::types::{JobId, Millis, Resources, TaskId, Zone};

use crate::machines::Machines;
use crate::rules::{Group, Rules};

/// A machine that is sound, by what is free there.
struct Free<'a> {
    zone: &'a Zone,
    spot: bool,
    resources: Resources,
}

/// Jobs of which a task waits, a gang's tasks together, though machines that fit have room and the
/// team's limit leaves it.
pub fn could_run(machines: &Machines, rules: &Rules, now: Millis) -> Vec<JobId> {
    let on: HashSet<&TaskId> = machines.tasks_allocated(now).collect();
    let available: Vec<Free> = machines
        .healthy(now)
        .map(|(machine, resources)| Free {
            zone: &machine.zone,
            spot: machine.spot,
            resources,
        })
        .collect();
    let over = |id: &JobId| rules.done.contains(id) || rules.wanted_aborts.contains_key(id);
    let open = rules.accepted.iter().filter(|id| !over(id));
    let able = open.filter(|id| {
        let Some(job) = machines.jobs.get(*id) else {
            return false;
        };
        let task = |index| TaskId {
            job: (*id).clone(),
            index,
        };
        let waits = |task: &TaskId| !machines.completed.contains(task) && !on.contains(task);
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
                    || leaves(
                        group,
                        machines,
                        &on,
                        job.spec.resources.times(f64::from(together)),
                    )
            })
            && fits(&job.spec, id, together, machines, &available, now)
    });
    able.cloned().collect()
}

fn leaves(group: &Group, machines: &Machines, on: &HashSet<&TaskId>, more: Resources) -> bool {
    let specs = on.iter().filter_map(|task| machines.jobs.get(&task.job));
    let its = specs.filter(|job| group.teams.contains(&job.spec.team));
    let used = its.fold(more, |sum, job| sum.plus(job.spec.resources));
    let within = |used: f64, most: f64| most <= 0.0 || used <= most + 1e-6;
    within(used.cpus, group.cpus_max) && within(used.gpus, group.gpus_max)
}

fn fits(
    spec: &JobSpec,
    id: &JobId,
    tasks: u32,
    machines: &Machines,
    available: &[Free],
    now: Millis,
) -> bool {
    let mut placed: BTreeMap<&Zone, u32> = BTreeMap::new();
    for (machine_id, _) in machines
        .allocations(now)
        .filter(|(_, task)| task.job == *id)
    {
        *placed.entry(&machines.by_id[machine_id].zone).or_default() += 1;
    }
    let mut resources: BTreeMap<&Zone, u32> = BTreeMap::new();
    for machine in available {
        let elsewhere = spec.one_zone && placed.keys().any(|zone| *zone != machine.zone);
        let crowded = spec.spread
            && placed.get(machine.zone).copied().unwrap_or(0) >= spec.max_tasks_per_zone();
        let machine_type = machines.machine_type();
        if spec.allows(machine_type, machine.zone, machine.spot) && !elsewhere && !crowded {
            *resources.entry(machine.zone).or_default() += machine.resources.holds(spec.resources);
        }
    }
    if spec.one_zone {
        resources.values().any(|holds| *holds >= tasks)
    } else {
        resources.values().sum::<u32>() >= tasks
    }
}
