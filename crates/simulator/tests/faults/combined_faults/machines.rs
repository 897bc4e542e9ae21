//! Combined faults in which the state of machines and tasks cannot be observed.

use std::collections::HashSet;

use cluster_simulator::sim::{JobPlan, World, ZoneCut, job};
use jaspertiller::types::{JobId, MachineId, Millis, TaskId};

use super::super::cut_except_workers;
use super::holders::observe_shard_holds;
use super::{FAULT_START, Scenario, confirmed_cancellations, leader, running_jobs};

/// Machines that are up and run tasks.
fn busy(world: &World) -> Vec<MachineId> {
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

/// These machines, a small part of the fleet, cannot reach any controller for `for_ms`. Once this is
/// detectable, no new task may be placed on them.
fn unable_to_report(world: &mut World, machine_ids: &[MachineId], for_ms: u64) {
    const NOTICED: u64 = 7_000;
    let (from, until) = (world.now, world.now + for_ms);
    for machine_id in machine_ids {
        world
            .machines
            .by_id
            .get_mut(machine_id)
            .unwrap()
            .heartbeats_lost_until = Millis(until);
    }
    let on = |world: &World| -> HashSet<(MachineId, TaskId, u64)> {
        let tasks = machine_ids.iter().flat_map(|machine_id| {
            let machine = &world.machines.by_id[machine_id];
            let tasks = machine.tasks.iter();
            tasks.map(|(task, known)| (machine_id.clone(), task.clone(), known.attempt.0))
        });
        tasks.collect()
    };
    world.run_until(from + NOTICED);
    let mut known = on(world);
    while world.now < until {
        world.run_until(world.now + 100);
        let new: Vec<_> = on(world).difference(&known).cloned().collect();
        assert!(
            new.is_empty(),
            "at {}: put on mute ones: {new:?}",
            world.now
        );
        known.extend(new);
    }
}

/// Enough jobs to keep about thirty machines busy.
fn large_fleet(world: &mut World) {
    world.cloud.offer(32);
    for index in 0..20 {
        let mut plan = job(100 + index, "large", "sweep", 4, 1.0, 60_000);
        plan.at = Some(4_000 + 800 * index as u64);
        world.submit(plan);
    }
}

/// A steady stream of jobs with short tasks.
fn stream(world: &mut World, from: u64, to: u64) {
    for index in 0..(to - from) / 1_500 {
        let mut plan = job(200 + index as usize, "large", "sweep", 3, 1.0, 7_000);
        plan.at = Some(from + 1_500 * index);
        world.submit(plan);
    }
}

/// An array restricted to a single zone, or one restricted to a named zone.
fn bound(index: usize) -> JobPlan {
    let mut plan = job(100 + index, "large", "sweep", 6, 2.0, 25_000);
    if index % 2 == 0 {
        plan.body["oneZone"] = true.into();
    } else {
        plan.body["yard"] = "a".into();
    }
    plan.at = Some(3_000 + 4_000 * index as u64);
    plan
}

/// GPUs used by a team's running tasks.
fn gpus_of(world: &World, team: &str) -> f64 {
    let tasks = world.machines.tasks_allocated(Millis(world.now));
    let specs = tasks.map(|task| &world.machines.jobs[&task.job].spec);
    let its = specs.filter(|spec| spec.team.as_str() == team);
    its.map(|spec| spec.resources.gpus).sum()
}

pub(super) const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "some machines reach no controller while direct commands reach them, and jobs are cancelled",
        controllers: 3,
        lease_s: None,
        play: |w| {
            large_fleet(w);
            stream(w, FAULT_START - 10_000, FAULT_START + 45_000);
            w.run_until(FAULT_START);
            let machine_ids: Vec<MachineId> = busy(w).into_iter().step_by(7).collect();
            let began = jobs_on(w, &machine_ids);
            for index in 0..6 {
                w.abort_at(FAULT_START + 3_000 * index, index as usize);
            }
            unable_to_report(w, &machine_ids, 40_000);
            let cancelled = confirmed_cancellations(w, &began, FAULT_START, FAULT_START + 40_000);
            vec![
                ("mute with tasks", machine_ids.len() as u64),
                ("cancelled there", cancelled),
            ]
        },
    },
    Scenario {
        name: "most machines reach no controller for longer than a lease, then all do again",
        controllers: 5,
        lease_s: None,
        play: |w| {
            large_fleet(w);
            stream(w, FAULT_START - 10_000, FAULT_START + 25_000);
            w.run_until(FAULT_START);
            let machine_ids: Vec<MachineId> = busy(w);
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
            let what = format!("{deleted} of {} deleted", machine_ids.len());
            assert!(
                machine_ids.len() >= 15 && deleted * 6 <= machine_ids.len(),
                "{what}"
            );
            vec![
                ("mute", machine_ids.len() as u64),
                ("killed by their lease", w.machines.killed_by_lease),
            ]
        },
    },
    Scenario {
        name: "no machine reaches any controller, shorter than a lease and longer, and jobs are cancelled",
        controllers: 3,
        lease_s: None,
        play: |w| {
            let (mut began, mut changes) = (HashSet::new(), 0);
            for (round, span) in [9_000, 22_000].into_iter().enumerate() {
                w.run_until(FAULT_START - 10_000 + 35_000 * round as u64);
                began.extend(running_jobs(w));
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
                        .heartbeats_lost_until = Millis(from + span);
                }
                changes += observe_shard_holds(w, from + span) - 1;
                let deleted = w.cloud.deleted_at_work - deleted;
                assert_eq!(deleted, 0, "deleted at work in round {round}");
            }
            // Every controller receives their heartbeats.
            assert!(changes <= 5, "a block changed hands {changes} times");
            vec![
                (
                    "cancelled meanwhile",
                    confirmed_cancellations(w, &began, FAULT_START - 10_000, w.now),
                ),
                ("killed by their lease", w.machines.killed_by_lease),
            ]
        },
    },
    Scenario {
        name: "jobs are cancelled within a fifth of a second and their machines hang, for all spans",
        controllers: 5,
        lease_s: None,
        play: |w| {
            // Around a heartbeat interval, a lease, the cancellation timeout, and the sum of both.
            let spans = [2_000, 9_000, 11_800, 12_500, 14_500, 24_000, 30_500, 45_000];
            let (mut began, mut hung) = (HashSet::new(), 0);
            for round in 0..2 {
                w.run_until(FAULT_START - 8_000 + 20_000 * round);
                let jobs: Vec<usize> = (0..7).map(|index| 2 * index + round as usize).collect();
                let now = w.now;
                for (index, job) in jobs.iter().enumerate() {
                    w.abort_at(now + 28 * index as u64, *job);
                }
                let ids: HashSet<JobId> = jobs.iter().map(|job| w.jobs[*job].id()).collect();
                began.extend(ids.intersection(&running_jobs(w)).cloned());
                let on: HashSet<MachineId> = {
                    let present = w.machines.tasks_started(Millis(now));
                    let its = present.filter(|(_, task)| ids.contains(&task.job));
                    its.map(|(machine_id, _)| machine_id.clone()).collect()
                };
                let mut on: Vec<MachineId> = on.into_iter().collect();
                on.sort();
                w.run_until(now + 60 + 40 * round);
                for (machine_id, span) in
                    on.iter().zip(spans.iter().cycle().skip(3 * round as usize))
                {
                    w.machines.by_id.get_mut(machine_id).unwrap().hung_until = Millis(now + span);
                    hung += 1;
                }
            }
            w.run_until(115_000);
            vec![
                ("machines of theirs that hang", hung),
                (
                    "cancelled",
                    confirmed_cancellations(w, &began, FAULT_START - 8_000, 115_000),
                ),
            ]
        },
    },
    Scenario {
        name: "jobs bound to one zone, arrays too, lose machines, and some cannot be asked",
        controllers: 5,
        lease_s: None,
        play: |w| {
            (0..6).for_each(|index| w.submit(bound(index)));
            let mut lost = 0;
            for round in 0..3 {
                w.run_until(16_000 + 14_000 * round);
                let machine_ids = busy(w);
                let its = |w: &World, machine_id: &MachineId| {
                    let mut tasks = w.machines.by_id[machine_id].tasks.keys();
                    tasks.any(|task| task.job.as_str() >= "job-000100")
                };
                let machine_ids: Vec<MachineId> = machine_ids
                    .into_iter()
                    .filter(|machine_id| its(w, machine_id))
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
            vec![("machines lost under them", lost)]
        },
    },
    Scenario {
        name: "reports are held back until a new leader has acted, and then arrive there",
        controllers: 5,
        lease_s: None,
        play: |w| {
            let mut arrived = 0;
            for round in 0..3 {
                w.run_until(25_000 + 28_000 * round);
                let (old, began) = (leader(w), busy(w));
                w.network.intercepted_machines.extend(began);
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
                    arrived += w.network.intercepted_heartbeats.len() as u64;
                    let to = leader(w);
                    w.release_heartbeats(to);
                }
                w.run_until(now + 15_000);
            }
            vec![("reports that arrive at the new leader", arrived)]
        },
    },
    Scenario {
        name: "a team is at its limit when the leader changes, machines cannot be asked, jobs are cancelled",
        controllers: 5,
        lease_s: None,
        play: |w| {
            for index in 0..14 {
                let mut plan = job(100 + index, "small", "sweep", 4, 1.0, 12_000);
                plan.at = Some(4_000 + 400 * index as u64);
                w.submit(plan);
            }
            w.run_until(FAULT_START);
            let full = gpus_of(w, "small");
            let (old, began) = (leader(w), running_jobs(w));
            let machine_ids: Vec<MachineId> = {
                let present = w.machines.tasks_started(Millis(w.now));
                let its = present.filter(|(_, task)| task.job.as_str() >= "job-000100");
                its.map(|(machine_id, _)| machine_id.clone()).collect()
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
            let cancelled = confirmed_cancellations(w, &began, FAULT_START, FAULT_START + 18_000);
            // The team regains its full limit within seconds after heartbeats resume.
            let mut again = 0;
            while w.now < FAULT_START + 30_000 && again == 0 {
                w.run_until(w.now + 100);
                again = u64::from(gpus_of(w, "small") >= 6.0);
            }
            vec![
                ("at its limit", u64::from(full >= 6.0)),
                ("cancelled meanwhile", cancelled),
                ("at its limit again", again),
            ]
        },
    },
    Scenario {
        name: "the leader's zone is cut off for longer than a lease, and jobs are cancelled outside",
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
            let began = jobs_on(w, &inside);
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
            let asked = began
                .iter()
                .filter(|id| w.rules.wanted_aborts.contains_key(*id));
            vec![
                ("with tasks inside", began.len() as u64),
                ("cancelled outside", asked.count() as u64),
            ]
        },
    },
    Scenario {
        name: "there is more work than room, urgent and not, over slow links, and jobs are cancelled",
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
            let began = running_jobs(w);
            let waiting = w.rules.accepted.difference(&began).count() as u64;
            w.run_until(110_000);
            vec![("full", u64::from(full)), ("jobs that waited", waiting)]
        },
    },
];
