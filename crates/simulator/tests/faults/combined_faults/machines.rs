//! Combined faults in which the state of machines and tasks cannot be observed.

use std::collections::HashSet;

use cluster_simulator::sim::{JobPlan, World, ZoneCut, job};
use jaspertiller::types::{JobId, MachineId, Millis, TaskId};

use super::super::cut_except_workers;
use super::holders::observe_shard_holds;
use super::{FAULT_START, Scenario, confirmed_cancellations, leader, running_jobs};

/// Machines that are up and run tasks, sorted by ID.
fn busy_machines(world: &World) -> Vec<MachineId> {
    let machine_ids: HashSet<&MachineId> = world
        .machines
        .tasks_started(Millis(world.now))
        .map(|(machine_id, _)| machine_id)
        .collect();
    let mut machine_ids: Vec<MachineId> = machine_ids.into_iter().cloned().collect();
    machine_ids.sort();
    machine_ids
}

fn jobs_on(world: &World, machine_ids: &[MachineId]) -> HashSet<JobId> {
    let present = world.machines.tasks_started(Millis(world.now));
    let here = present.filter(|(machine_id, _)| machine_ids.contains(machine_id));
    here.map(|(_, task)| task.job.clone()).collect()
}

/// Loses the heartbeats of these machines, a small part of the fleet, to all controllers for `duration_ms`
/// milliseconds. Once this is detectable, no new task may be placed on the machines.
fn lose_heartbeats_and_check_placement(
    world: &mut World,
    machine_ids: &[MachineId],
    duration_ms: u64,
) {
    const DETECTION_MS: u64 = 7_000;
    let (from, until) = (world.now, world.now + duration_ms);
    for machine_id in machine_ids {
        world
            .machines
            .by_id
            .get_mut(machine_id)
            .unwrap()
            .heartbeats_lost_until = Millis(until);
    }
    let attempts_on = |world: &World| -> HashSet<(MachineId, TaskId, u64)> {
        let tasks = machine_ids.iter().flat_map(|machine_id| {
            let machine = &world.machines.by_id[machine_id];
            let known = machine.tasks.keys();
            known.map(|known| (machine_id.clone(), known.task.clone(), known.attempt.0))
        });
        tasks.collect()
    };
    world.run_until(from + DETECTION_MS);
    let mut known = attempts_on(world);
    while world.now < until {
        world.run_until(world.now + 100);
        let new: Vec<_> = attempts_on(world).difference(&known).cloned().collect();
        assert!(
            new.is_empty(),
            "at {} ms: tasks placed on machines without heartbeats: {new:?}",
            world.now
        );
        known.extend(new);
    }
}

/// Offers more machines, and submits enough jobs to keep about thirty of them busy.
fn load_large_fleet(world: &mut World) {
    world.cloud.offer(32);
    for index in 0..20 {
        let mut plan = job(100 + index, "large", "sweep", 4, 1.0, 60_000);
        plan.at = Some(4_000 + 800 * index as u64);
        world.submit(plan);
    }
}

/// Submits jobs with short tasks at a steady rate between `from` and `to` (milliseconds).
fn submit_short_jobs(world: &mut World, from: u64, to: u64) {
    for index in 0..(to - from) / 1_500 {
        let mut plan = job(200 + index as usize, "large", "sweep", 3, 1.0, 7_000);
        plan.at = Some(from + 1_500 * index);
        world.submit(plan);
    }
}

/// An array restricted to a single zone, or one restricted to a named zone.
fn zone_restricted_job(index: usize) -> JobPlan {
    let mut plan = job(100 + index, "large", "sweep", 6, 2.0, 25_000);
    if index % 2 == 0 {
        plan.body["oneZone"] = true.into();
    } else {
        plan.body["yard"] = "a".into();
    }
    plan.at = Some(3_000 + 4_000 * index as u64);
    plan
}

/// GPUs allocated to tasks of a team.
fn gpus_used_by(world: &World, team: &str) -> f64 {
    let tasks = world.machines.tasks_allocated(Millis(world.now));
    let specs = tasks.map(|task| &world.machines.jobs[&task.job].spec);
    let team_specs = specs.filter(|spec| spec.team.as_str() == team);
    team_specs.map(|spec| spec.resources.gpus).sum()
}

pub(super) const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "some machines lose their heartbeats but receive direct commands, and jobs are cancelled",
        controllers: 3,
        lease_s: None,
        play: |w| {
            load_large_fleet(w);
            submit_short_jobs(w, FAULT_START - 10_000, FAULT_START + 45_000);
            w.run_until(FAULT_START);
            let machine_ids: Vec<MachineId> = busy_machines(w).into_iter().step_by(7).collect();
            let affected_jobs = jobs_on(w, &machine_ids);
            for index in 0..6 {
                w.abort_at(FAULT_START + 3_000 * index, index as usize);
            }
            lose_heartbeats_and_check_placement(w, &machine_ids, 40_000);
            let confirmed =
                confirmed_cancellations(w, &affected_jobs, FAULT_START, FAULT_START + 40_000);
            vec![
                ("busy machines without heartbeats", machine_ids.len() as u64),
                (
                    "cancellations confirmed for jobs on these machines",
                    confirmed,
                ),
            ]
        },
    },
    Scenario {
        name: "heartbeats of most machines are lost for longer than a lease, then resume",
        controllers: 5,
        lease_s: None,
        play: |w| {
            load_large_fleet(w);
            submit_short_jobs(w, FAULT_START - 10_000, FAULT_START + 25_000);
            w.run_until(FAULT_START);
            let machine_ids: Vec<MachineId> = busy_machines(w);
            let machine_ids = &machine_ids[..machine_ids.len() * 3 / 4];
            for index in 0..4 {
                w.abort_at(FAULT_START + 4_000 * index, 2 * index as usize);
            }
            let before = w.cloud.deleted.len();
            for machine_id in machine_ids {
                w.machines
                    .by_id
                    .get_mut(machine_id)
                    .unwrap()
                    .heartbeats_lost_until = Millis(FAULT_START + 20_000);
            }
            w.run_until(FAULT_START + 20_000);
            let deleted = w.cloud.deleted.len() - before;
            // Direct responses prove that the machines are alive, so many at once must not be deleted. A
            // controller that has only a few such machines replaces them.
            let summary = format!(
                "{deleted} of {} machines without heartbeats deleted",
                machine_ids.len()
            );
            assert!(
                machine_ids.len() >= 15 && deleted * 6 <= machine_ids.len(),
                "{summary}"
            );
            vec![
                ("machines without heartbeats", machine_ids.len() as u64),
                ("tasks killed on lease expiry", w.machines.killed_by_lease),
            ]
        },
    },
    Scenario {
        name: "all heartbeats are lost, for less and for more than a lease, and jobs are cancelled",
        controllers: 3,
        lease_s: None,
        play: |w| {
            let (mut running, mut changes) = (HashSet::new(), 0);
            for (round, duration) in [9_000, 22_000].into_iter().enumerate() {
                w.run_until(FAULT_START - 10_000 + 35_000 * round as u64);
                running.extend(running_jobs(w));
                let machine_ids: Vec<MachineId> = w.machines.by_id.keys().cloned().collect();
                let (from, deleted) = (w.now, w.cloud.deleted_at_work);
                for index in 0..4 {
                    w.abort_at(from + 1_500 * index, 2 * index as usize + round);
                }
                for machine_id in &machine_ids {
                    w.machines
                        .by_id
                        .get_mut(machine_id)
                        .unwrap()
                        .heartbeats_lost_until = Millis(from + duration);
                }
                changes += observe_shard_holds(w, from + duration) - 1;
                let deleted = w.cloud.deleted_at_work - deleted;
                assert_eq!(deleted, 0, "busy machines deleted in round {round}");
            }
            // Every controller receives the machines' heartbeats.
            assert!(changes <= 5, "a shard changed holders {changes} times");
            vec![
                (
                    "cancellations confirmed during the fault",
                    confirmed_cancellations(w, &running, FAULT_START - 10_000, w.now),
                ),
                ("tasks killed on lease expiry", w.machines.killed_by_lease),
            ]
        },
    },
    Scenario {
        name: "jobs are cancelled within 200 ms and their machines hang for various durations",
        controllers: 5,
        lease_s: None,
        play: |w| {
            // Around a heartbeat interval, a lease, the cancellation timeout, and the sum of both.
            let durations = [2_000, 9_000, 11_800, 12_500, 14_500, 24_000, 30_500, 45_000];
            let (mut cancelled_running, mut hung) = (HashSet::new(), 0);
            for round in 0..2 {
                w.run_until(FAULT_START - 8_000 + 20_000 * round);
                let jobs: Vec<usize> = (0..7).map(|index| 2 * index + round as usize).collect();
                let now = w.now;
                for (index, job) in jobs.iter().enumerate() {
                    w.abort_at(now + 28 * index as u64, *job);
                }
                let cancelled_ids: HashSet<JobId> =
                    jobs.iter().map(|job| w.jobs[*job].id()).collect();
                cancelled_running.extend(cancelled_ids.intersection(&running_jobs(w)).cloned());
                let hosts: HashSet<MachineId> = {
                    let present = w.machines.tasks_started(Millis(now));
                    let hosting = present.filter(|(_, task)| cancelled_ids.contains(&task.job));
                    hosting.map(|(machine_id, _)| machine_id.clone()).collect()
                };
                let mut hosts: Vec<MachineId> = hosts.into_iter().collect();
                hosts.sort();
                w.run_until(now + 60 + 40 * round);
                for (machine_id, duration) in hosts
                    .iter()
                    .zip(durations.iter().cycle().skip(3 * round as usize))
                {
                    w.machines.by_id.get_mut(machine_id).unwrap().hung_until =
                        Millis(now + duration);
                    hung += 1;
                }
            }
            w.run_until(115_000);
            vec![
                ("machines of cancelled jobs that hang", hung),
                (
                    "cancellations confirmed",
                    confirmed_cancellations(w, &cancelled_running, FAULT_START - 8_000, 115_000),
                ),
            ]
        },
    },
    Scenario {
        name: "jobs restricted to one zone, also arrays, lose machines, and some machines are unreachable",
        controllers: 5,
        lease_s: None,
        play: |w| {
            (0..6).for_each(|index| w.submit(zone_restricted_job(index)));
            let mut lost = 0;
            for round in 0..3 {
                w.run_until(16_000 + 14_000 * round);
                let machine_ids = busy_machines(w);
                let runs_restricted_job = |w: &World, machine_id: &MachineId| {
                    let mut tasks = w.machines.by_id[machine_id].tasks.keys();
                    tasks.any(|known| known.task.job.as_str() >= "job-000100")
                };
                let machine_ids: Vec<MachineId> = machine_ids
                    .into_iter()
                    .filter(|machine_id| runs_restricted_job(w, machine_id))
                    .collect();
                let now = w.now;
                for (index, machine_id) in machine_ids.iter().enumerate() {
                    lost += 1;
                    match (index + round as usize) % 3 {
                        0 => w.machines.kill(machine_id, Millis(now)),
                        1 => {
                            let machine = w.machines.by_id.get_mut(machine_id).unwrap();
                            machine.unreachable_until = Millis(now + 13_000);
                        }
                        _ => lost -= 1,
                    }
                }
                let old = leader(w);
                w.crash(old, now + 700, 400);
            }
            vec![("machines lost by these jobs", lost)]
        },
    },
    Scenario {
        name: "heartbeats are intercepted until a new leader has acted, and then reach it",
        controllers: 5,
        lease_s: None,
        play: |w| {
            let mut delivered = 0;
            for round in 0..3 {
                w.run_until(25_000 + 28_000 * round);
                let (old, intercepted) = (leader(w), busy_machines(w));
                w.network.intercepted_machines.extend(intercepted);
                w.run_until(w.now + 1_700);
                w.network.intercepted_machines.clear();
                let now = w.now;
                if round == 1 {
                    w.network
                        .cuts
                        .push(cut_except_workers(old, now / 1_000, 12, true));
                } else {
                    w.crash(old, now, 9_000);
                }
                for index in 0..4 {
                    w.abort_at(now + 6_500 + 300 * index, (4 * round + index) as usize);
                }
                // One machine with a heartbeat in flight dies; another one restarts.
                w.kill_worker(round as usize);
                w.run_until(now + 4_000);
                w.reboot_worker(round as usize + 1, false);
                w.run_until(now + 8_000);
                if leader(w) != old {
                    delivered += w.network.intercepted_heartbeats.len() as u64;
                    let new_leader = leader(w);
                    w.release_heartbeats(new_leader);
                }
                w.run_until(now + 15_000);
            }
            vec![(
                "intercepted heartbeats delivered to the new leader",
                delivered,
            )]
        },
    },
    Scenario {
        name: "a team is at its limit while the leader changes, machines are unreachable and jobs are cancelled",
        controllers: 5,
        lease_s: None,
        play: |w| {
            for index in 0..14 {
                let mut plan = job(100 + index, "small", "sweep", 4, 1.0, 12_000);
                plan.at = Some(4_000 + 400 * index as u64);
                w.submit(plan);
            }
            w.run_until(FAULT_START);
            let gpus_before = gpus_used_by(w, "small");
            let (old, running) = (leader(w), running_jobs(w));
            let machine_ids: Vec<MachineId> = {
                let present = w.machines.tasks_started(Millis(w.now));
                let hosting = present.filter(|(_, task)| task.job.as_str() >= "job-000100");
                hosting.map(|(machine_id, _)| machine_id.clone()).collect()
            };
            for machine_id in machine_ids.iter().step_by(2) {
                w.machines
                    .by_id
                    .get_mut(machine_id)
                    .unwrap()
                    .unreachable_until = Millis(FAULT_START + 18_000);
            }
            w.crash(old, FAULT_START + 300, 6_000);
            // Some jobs of the team, and some of other teams.
            for (index, job) in [14, 0, 15, 1, 16, 2, 3, 6].into_iter().enumerate() {
                w.abort_at(FAULT_START + 2_000 + 900 * index as u64, job);
            }
            w.run_until(FAULT_START + 18_000);
            let confirmed = confirmed_cancellations(w, &running, FAULT_START, FAULT_START + 18_000);
            // The team regains its full limit within seconds after heartbeats resume.
            let mut regained = 0;
            while w.now < FAULT_START + 30_000 && regained == 0 {
                w.run_until(w.now + 100);
                regained = u64::from(gpus_used_by(w, "small") >= 6.0);
            }
            vec![
                (
                    "runs with the team at its limit",
                    u64::from(gpus_before >= 6.0),
                ),
                ("cancellations confirmed during the fault", confirmed),
                ("runs with the team back at its limit", regained),
            ]
        },
    },
    Scenario {
        name: "the leader's zone is partitioned for longer than a lease, and jobs are cancelled from outside",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.run_until(FAULT_START);
            let zone = w.settings[leader(w)].zone.clone();
            let inside: Vec<MachineId> = {
                let machines = w.machines.by_id.iter();
                let inside = machines.filter(|(_, m)| m.zone == zone);
                inside.map(|(machine_id, _)| machine_id.clone()).collect()
            };
            let affected_jobs = jobs_on(w, &inside);
            w.network.zone_cuts.push(ZoneCut {
                zone,
                since: FAULT_START,
                until: FAULT_START + 32_000,
                hold: true,
            });
            for index in 0..8 {
                w.abort_at(FAULT_START + 5_000 + 3_000 * index, index as usize);
            }
            w.run_until(FAULT_START + 31_000);
            let requested = affected_jobs
                .iter()
                .filter(|id| w.rules.wanted_aborts.contains_key(*id));
            vec![
                ("jobs with tasks in the zone", affected_jobs.len() as u64),
                (
                    "cancellations requested from outside",
                    requested.count() as u64,
                ),
            ]
        },
    },
    Scenario {
        name: "jobs of several ranks exceed the capacity over slow links, and jobs are cancelled",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.network.slow_links = Some(100..1_900);
            for index in 0..18 {
                let kind = ["sweep", "gang", "sweep"][index % 3];
                let mut plan = job(100 + index, "large", kind, 6, 1.0, 22_000);
                plan.at = Some(4_000 + 1_200 * index as u64);
                if index % 5 == 0 {
                    plan.body["rank"] = "best_effort".into();
                }
                w.submit(plan);
            }
            for index in 0..12 {
                w.abort_at(12_000 + 2_700 * index, 2 * index as usize);
            }
            let mut full = false;
            while w.now < FAULT_START {
                w.run_until(w.now + 500);
                let resources = w
                    .machines
                    .healthy(Millis(w.now))
                    .map(|(_, resources)| resources.gpus);
                full |= w.now > 20_000 && resources.sum::<f64>() < 4.0;
            }
            let running = running_jobs(w);
            let waiting = w.rules.accepted.difference(&running).count() as u64;
            w.run_until(110_000);
            vec![
                ("runs at full capacity", u64::from(full)),
                ("jobs waiting for capacity", waiting),
            ]
        },
    },
];
