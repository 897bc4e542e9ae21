//! Finds jobs that wait although suitable machines have room, from the true state of the machines and not from the
//! view of any controller.

use std::collections::{BTreeMap, HashSet};

use jaspertiller::jobs::{JobKind, JobSpec};
use jaspertiller::types::{JobId, Millis, Resources, TaskId, Zone};

use crate::machines::Machines;
use crate::rules::{Group, Rules};

/// A healthy machine and its free resources.
struct FreeMachine<'a> {
    zone: &'a Zone,
    spot: bool,
    resources: Resources,
}

/// Open jobs with a waiting task that suitable machines have room for and that the team's quota allows. The waiting
/// tasks of a gang must fit all together.
pub fn runnable_jobs(machines: &Machines, rules: &Rules, now: Millis) -> Vec<JobId> {
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
    let runnable = open.filter(|id| {
        let Some(job) = machines.jobs.get(*id) else {
            return false;
        };
        let task = |index| TaskId {
            job: (*id).clone(),
            index,
        };
        let is_waiting =
            |task: &TaskId| !machines.completed.contains(task) && !allocated.contains(task);
        let waiting = (0..job.spec.tasks).map(task).filter(is_waiting).count() as u32;
        let needed = if job.spec.kind == JobKind::Gang {
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
                        job.spec.resources.times(f64::from(needed)),
                    )
            })
            && fits(&job.spec, id, needed, machines, &available, now)
    });
    runnable.cloned().collect()
}

/// Whether a group's limits allow `additional` resources on top of those of its allocated tasks.
fn has_quota_for(
    group: &Group,
    machines: &Machines,
    allocated: &HashSet<&TaskId>,
    additional: Resources,
) -> bool {
    let jobs = allocated
        .iter()
        .filter_map(|task| machines.jobs.get(&task.job));
    let used = jobs
        .filter(|job| group.teams.contains(&job.spec.team))
        .fold(additional, |sum, job| sum.plus(job.spec.resources));
    group.allows(used)
}

/// Whether the available machines that the job allows have room for `tasks` more of its tasks.
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
        let in_other_zone = spec.one_zone && placed.keys().any(|zone| *zone != machine.zone);
        let zone_is_full = spec.spread
            && placed.get(machine.zone).copied().unwrap_or(0) >= spec.max_tasks_per_zone();
        let machine_type = machines.machine_type();
        if spec.allows(machine_type, machine.zone, machine.spot) && !in_other_zone && !zone_is_full
        {
            *room.entry(machine.zone).or_default() += machine.resources.fit_count(spec.resources);
        }
    }
    if spec.one_zone {
        room.values().any(|fit_count| *fit_count >= tasks)
    } else {
        room.values().sum::<u32>() >= tasks
    }
}
