//! Meetings of what users ask with ends, refusals and controllers that are away.

use cluster_simulator::sim::{Refusal, World, job};
use jaspertiller::types::Millis;

use super::super::{alone, restarts};
use super::{AT, Meeting, Seen, at_work, leader, told};

/// Jobs are cancelled within a fifth of a second of the state service's refusing the leader alone; a while
/// later it is out for longer than cancelled tasks may stay.
fn refused(world: &mut World, gap: u64) -> Seen {
    world.run_until(AT);
    let (old, began) = (leader(world), at_work(world));
    world.refusals.push(Refusal {
        node: old,
        since: AT,
        until: AT + 14_000,
    });
    let cancel = world.config.timing.cancel.0;
    let back = AT + gap + cancel + 8_000;
    world.outages.push((AT + gap, back));
    for index in 0..12 {
        world.abort_at(AT + 16 * index, index as usize);
    }
    world.run_until(back + 10_000);
    let before = told(world, &began, AT, AT + gap);
    vec![(
        "cancelled in all",
        told(world, &began, AT, back + 10_000) + before,
    )]
}

/// All controllers are away for longer than a lease, and come back so many milliseconds apart.
fn all_away(world: &mut World, apart: u64) -> Seen {
    world.run_until(AT);
    let began = at_work(world);
    let lease = world.config.timing.lease.0;
    (0..4).for_each(|index| world.abort_at(AT - 200 + 60 * index, index as usize));
    for node in 0..world.nodes.len() {
        world.crash(
            node,
            AT + 10 * node as u64,
            lease + 4_000 + apart * node as u64,
        );
    }
    (4..8).for_each(|index| world.abort_at(AT + 3_000 * index, index as usize));
    // One dies and one begins anew while nobody looks.
    world.run_until(AT + 6_000);
    world.kill_worker(0);
    world.reboot_worker(1, false);
    world.run_until(AT + lease + 30_000);
    vec![
        ("killed by their lease", world.machines.killed_by_lease),
        ("cancelled", told(world, &began, AT, world.now)),
    ]
}

pub(super) const MEETINGS: &[Meeting] = &[
    Meeting {
        name: "a cancellation, a question and a repeated submission meet the end of a job's last task",
        controllers: 3,
        lease_s: None,
        play: |w| {
            w.meet_ends = 1.0;
            for index in 0..24 {
                let (kind, tasks) = [("sweep", 1), ("gang", 2), ("sweep", 5)][index % 3];
                let run = 3_000 + 400 * index as u64;
                let mut plan = job(100 + index, "large", kind, tasks, 1.0, run);
                plan.at = Some(4_000 + 2_000 * index as u64);
                w.submit(plan);
            }
            w.run_until(100_000);
            let cancelled = w.rules.aborted.len() as u64;
            vec![
                ("ends that were met", w.ends_met),
                ("told cancelled", cancelled),
                ("told done", w.rules.done.len() as u64),
            ]
        },
    },
    Meeting {
        name: "the same while transactions get no answer or come late",
        controllers: 3,
        lease_s: None,
        play: |w| {
            (w.meet_ends, w.late_writes, w.lost_answers) = (1.0, 0.15, 0.1);
            for index in 0..16 {
                let (kind, tasks) = [("sweep", 1), ("gang", 2), ("sweep", 3)][index % 3];
                let mut plan = job(100 + index, "large", kind, tasks, 1.0, 5_000);
                plan.at = Some(4_000 + 2_500 * index as u64);
                w.submit(plan);
            }
            w.run_until(100_000);
            let (done, nothing) = w.late_written;
            vec![
                ("ends that were met", w.ends_met),
                ("late transactions", done + nothing),
            ]
        },
    },
    Meeting {
        name: "cancelled at the moment of the refusal, the outage half a second later",
        controllers: 5,
        lease_s: None,
        play: |w| refused(w, 500),
    },
    Meeting {
        name: "cancelled at the moment of the refusal, the outage a second later",
        controllers: 3,
        lease_s: None,
        play: |w| refused(w, 1_000),
    },
    Meeting {
        name: "cancelled at the moment of the refusal, the outage two seconds later",
        controllers: 5,
        lease_s: None,
        play: |w| refused(w, 2_000),
    },
    Meeting {
        name: "cancelled at the moment of the refusal, the outage five seconds later",
        controllers: 5,
        lease_s: None,
        play: |w| refused(w, 5_000),
    },
    Meeting {
        name: "all controllers are away for longer than a lease, and back at once",
        controllers: 5,
        lease_s: None,
        play: |w| all_away(w, 3),
    },
    Meeting {
        name: "all controllers are away for longer than a lease, and back one after the other",
        controllers: 5,
        lease_s: None,
        play: |w| all_away(w, 4_000),
    },
    Meeting {
        name: "leaders change ten times in two minutes, also inside an outage",
        controllers: 5,
        lease_s: None,
        play: |w| {
            w.outages.push((61_000, 66_000));
            for index in 0..8 {
                w.abort_at(20_000 + 11_000 * index, index as usize);
            }
            let (mut changes, mut starts) = (0, 0);
            w.run_until(15_000);
            for round in 0..10 {
                let (now, old, before) = (w.now, leader(w), w.rules.starts);
                if round % 3 == 1 {
                    w.cuts.push(alone(old, now / 1_000, 9, round % 2 == 0));
                } else {
                    restarts(w, old, now, 2, 3_500);
                }
                let mut plan = job(100 + round as usize, "large", "sweep", 3, 1.0, 6_000);
                plan.at = Some(now + 1_000);
                w.submit(plan);
                w.run_until(15_000 + 10_300 * (round + 1));
                changes += u64::from(w.store.get("jt/lead").is_some() && leader(w) != old);
                starts += u64::from(w.rules.starts > before);
            }
            assert!(
                starts >= 8,
                "something was started under {starts} leaders only"
            );
            vec![
                ("changes of leader", changes),
                ("starts under each", starts),
            ]
        },
    },
];

/// Who asks for nothing but an answer has it within the page's time, whatever the state of the job.
#[test]
fn what_is_over_stays_as_it_was_told() {
    for seed in 1..=3 {
        let mut world = MEETINGS[0].world(seed);
        (MEETINGS[0].play)(&mut world);
        let (done, aborted) = (world.rules.done.clone(), world.rules.aborted.clone());
        assert!(done.len() > 3 && aborted.len() > 3);
        for node in 0..3 {
            world.crash(node, world.now + 2_000 * node as u64, 500);
        }
        world.run_until(world.now + 60_000);
        assert_eq!(
            world.rules.violations.len(),
            0,
            "{:?}",
            world.rules.violations
        );
        assert!(done.is_subset(&world.rules.done), "seed {seed}");
        let since = world.rules.unheard();
        assert!(since.is_empty(), "seed {seed}: {since:?}");
        assert!(world.now > Millis(100_000).0);
    }
}
