//! Hierarchical quotas with complete controllers: one scenario for each difficult case.

use std::sync::Arc;

use cluster_simulator::config::{Config, team};
use cluster_simulator::rules::Group;
use cluster_simulator::sim::{Cut, JobPlan, World, job};
use jaspertiller::settings::Settings;
use jaspertiller::types::{JobId, Millis, Resources, Team};

const TREE: &str = "[tree]\nrevision = REV\nhold_s = 3\n\
    [node coop]\ngpus = 40\n\
    [node east]\nparent = coop\ngpus = 20\ngpus_max = EASTMAX\n\
    [node west]\nparent = coop\ngpus = 20\n\
    [node e1]\nparent = east\nteam = e1\ngpus = 8\n\
    [node e2]\nparent = east\nteam = e2\ngpus = 4\n\
    [node w1]\nparent = west\nteam = w1\n\
    [node w2]\nparent = west\nteam = w2\n";

fn tree(revision: u32, east_max: u32) -> String {
    TREE.replace("REV", &revision.to_string())
        .replace("EASTMAX", &east_max.to_string())
}

/// A cluster of ten machines with four GPUs each, which is exactly the capacity of the tree's root.
fn world(seed: u64, jobs: Vec<JobPlan>, tree: Option<&str>) -> World {
    let config = Config {
        teams: ["e1", "e2", "w1", "w2", "out"]
            .map(|name| team(name, if name == "out" { 2.0 } else { 0.0 }, 0.0))
            .to_vec(),
        ..Config::default()
    };
    let mut world = World::new(config, seed, jobs);
    for controller in 0..world.settings.len() {
        load_tree(&mut world, controller, tree);
    }
    world
}

/// Sets the quota tree that a controller loads at its next start.
fn load_tree(world: &mut World, controller: usize, tree: Option<&str>) {
    let mut settings: Settings = (*world.settings[controller]).clone();
    settings.quota_tree = None;
    if let Some(text) = tree {
        settings.load_quota_tree("tree.ini", text).unwrap();
    }
    world.settings[controller] = Arc::new(settings);
}

/// From now on the simulator checks that these teams together use at most `gpus_max`.
fn limit_teams(world: &mut World, teams: &[&str], gpus_max: f64) {
    world.rules.groups.push(Group {
        name: teams.join(" and "),
        teams: teams.iter().map(|team| Team::from(*team)).collect(),
        cpus_max: 0.0,
        gpus_max,
    });
}

fn job_at(
    id: usize,
    team: &str,
    kind: &str,
    tasks: u32,
    gpus: f64,
    run_s: u64,
    at_s: u64,
) -> JobPlan {
    let mut plan = job(id, team, kind, tasks, gpus, run_s * 1_000);
    plan.at = Some(at_s * 1_000);
    plan
}

/// The same job with a checkpoint interval and the time that a save takes, both in seconds.
fn with_checkpoint(mut plan: JobPlan, checkpoint_s: f64, save_s: f64) -> JobPlan {
    plan.body["markS"] = checkpoint_s.into();
    plan.body["stashS"] = save_s.into();
    plan
}

/// GPUs allocated to a team's tasks on machines.
fn gpus_used(world: &World, name: &str) -> f64 {
    let now = Millis(world.now);
    let spec = |id: &JobId| &world.machines.jobs[id].spec;
    let specs = world
        .machines
        .tasks_started(now)
        .map(|(_, task)| spec(&task.job));
    let of_team = specs.filter(|spec| spec.team == Team::from(name));
    of_team
        .fold(Resources::default(), |sum, s| sum.plus(s.resources))
        .gpus
}

fn check_invariants(world: &World, name: &str) {
    let violations = &world.rules.violations;
    assert!(violations.is_empty(), "{name}: {violations:?}");
}

type Fault = (&'static str, fn(&mut World));

const FAULTS: &[Fault] = &[
    ("no faults", |_| {}),
    ("a holder crashes while it preempts tasks", |w| {
        w.crash(0, 62_300, 6_000)
    }),
    ("every controller crashes, one after another", |w| {
        (0..3).for_each(|n| w.crash(n, 61_000 + 5_000 * n as u64, 4_000));
    }),
    ("a store outage during reclaim", |w| {
        w.store_faults.outages.push((61_500, 70_000));
    }),
    ("store responses are lost", |w| {
        w.store_faults.lost_response_share = 0.1
    }),
    (
        "a holder is partitioned, and its commands arrive late",
        |w| {
            w.network.cuts.push(Cut {
                controller: 1,
                from_store: true,
                from_workers: true,
                from_peers: true,
                since: 61_000,
                until: 76_000,
                hold: true,
            });
        },
    ),
];

/// Each team is within one task of its entitlement 40 s after demand changed: 30 s plus the faults.
fn check_shares(world: &World, entitled: &[(&str, f64)], task_gpus: f64, name: &str) {
    let shares: Vec<_> = entitled
        .iter()
        .map(|(team, _)| gpus_used(world, team))
        .collect();
    for (share, (_, expected)) in shares.iter().zip(entitled) {
        assert!((share - expected).abs() <= task_gpus, "{name}: {shares:?}");
    }
}

#[test]
fn borrowed_share_is_reclaimed_under_faults() {
    // Tasks that save a checkpoint quickly, tasks that need time for it, and tasks without checkpoints.
    for (checkpoints, checkpoint_s, save_s) in [
        ("frequent checkpoints", 2.0, 1.0),
        ("slow checkpoints", 20.0, 6.0),
        ("no checkpoints", 0.0, 0.0),
    ] {
        for (name, fault) in FAULTS {
            // e1 borrows all capacity; then the other teams submit jobs.
            let jobs = vec![
                with_checkpoint(
                    job_at(1, "e1", "sweep", 80, 1.0, 300, 1),
                    checkpoint_s,
                    save_s,
                ),
                job_at(2, "w1", "sweep", 60, 1.0, 300, 60),
                job_at(3, "e2", "sweep", 40, 1.0, 300, 60),
            ];
            let mut world = world(1, jobs, Some(&tree(1, 40)));
            fault(&mut world);
            world.run_until(58_000);
            let borrowed = gpus_used(&world, "e1");
            assert!(borrowed >= 36.0, "{name}: only {borrowed} GPUs borrowed");
            world.run_until(102_000);
            let name = format!("{name}, {checkpoints}");
            check_invariants(&world, &name);
            // 20 for west; in east 8 and 4 are guaranteed, and the rest is divided evenly.
            let entitled = [("e1", 10.0), ("e2", 10.0), ("w1", 20.0)];
            check_shares(&world, &entitled, 1.0, &name);
        }
    }
}

/// A new tree is loaded while tasks are being preempted for the previous one: shares follow the new tree.
#[test]
fn shares_follow_a_new_tree_during_reclaim() {
    let jobs = vec![
        job_at(1, "e1", "sweep", 80, 1.0, 300, 1),
        job_at(2, "w1", "sweep", 60, 1.0, 300, 60),
        job_at(3, "e2", "sweep", 40, 1.0, 300, 60),
    ];
    let mut world = world(7, jobs, Some(&tree(1, 40)));
    world.run_until(61_000);
    let new_tree = tree(2, 40)
        .replace(
            "parent = coop\ngpus = 20\ngpus_max",
            "parent = coop\ngpus = 30\ngpus_max",
        )
        .replace("parent = coop\ngpus = 20\n", "parent = coop\ngpus = 10\n");
    load_tree(&mut world, 1, Some(&new_tree));
    world.crash(1, 61_500, 300);
    world.run_until(102_000);
    check_invariants(&world, "changed during reclaim");
    let entitled = [("e1", 15.0), ("e2", 15.0), ("w1", 10.0)];
    check_shares(&world, &entitled, 1.0, "changed during reclaim");
}

/// The limit of each level is allocated to shards like the teams' limits: no controller, late transaction
/// or change of holder may exceed it.
#[test]
fn limits_of_every_level_hold_under_faults() {
    for (name, fault) in FAULTS {
        for seed in 1..=3 {
            let jobs = (0..12).map(|i| {
                let team = ["e1", "e2", "w1"][i % 3];
                let kind = if i % 4 == 3 { "gang" } else { "sweep" };
                job_at(i, team, kind, 5, 1.0, 6 + i as u64, 5 + 7 * i as u64)
            });
            // Seven for east, at most five of them for e1.
            let text = tree(1, 7)
                .replace("gpus = 20\ngpus_max", "gpus = 7\ngpus_max")
                .replace("gpus = 8", "gpus = 3\ngpus_max = 5");
            let mut world = world(seed, jobs.collect(), Some(&text));
            limit_teams(&mut world, &["e1", "e2"], 7.0);
            limit_teams(&mut world, &["e1"], 5.0);
            fault(&mut world);
            world.run_until(240_000);
            let name = format!("{name} (seed {seed})");
            check_invariants(&world, &name);
            assert!(
                world.unfinished_jobs().is_empty(),
                "{name}: {:?}",
                world.unfinished_jobs()
            );
        }
    }
}

/// One controller loads a tree that lowers the limit of east below its usage; one has the old file, one has
/// none. Late transactions that were decided under the old tree must not apply.
#[test]
fn a_lowered_limit_drains_usage_and_rejects_no_job() {
    for (name, fault) in FAULTS {
        let jobs = vec![
            job_at(1, "e1", "sweep", 24, 1.0, 70, 1),
            job_at(2, "e2", "standing", 4, 1.0, 0, 1),
            job_at(3, "w1", "sweep", 10, 1.0, 300, 1),
            // Larger than the limit of the tree in force by then.
            job_at(4, "e2", "gang", 4, 4.0, 10, 120),
        ];
        let mut world = world(2, jobs, Some(&tree(1, 40)));
        fault(&mut world);
        let lowered = tree(2, 8)
            .replace("gpus = 20\ngpus_max", "gpus = 8\ngpus_max")
            .replace("gpus = 8\n[node e2", "gpus = 4\n[node e2");
        world.store_faults.lost_response_share = world.store_faults.lost_response_share.max(0.05);
        world.run_until(58_000);
        assert!(
            gpus_used(&world, "e1") + gpus_used(&world, "e2") > 16.0,
            "{name}"
        );
        load_tree(&mut world, 1, Some(&lowered));
        load_tree(&mut world, 2, None);
        world.crash(1, 59_000, 500);
        world.run_until(100_000);
        limit_teams(&mut world, &["e1", "e2"], 8.0);
        let east = gpus_used(&world, "e1") + gpus_used(&world, "e2");
        assert!(east <= 8.0, "{name}: east still uses {east} GPUs");
        world.run_until(300_000);
        check_invariants(&world, name);
        // Jobs within the limit finish; the others stay queued and finish once the limit is lifted.
        assert!(world.rules.done.contains(&"job-000001".into()), "{name}");
        assert!(
            world.rules.accepted.contains(&"job-000004".into()),
            "{name}"
        );
        assert!(!world.rules.done.contains(&"job-000004".into()), "{name}");
        world.rules.groups.clear();
        for controller in 0..3 {
            load_tree(
                &mut world,
                controller,
                Some("[tree]\nrevision = 3\nenabled = no\n"),
            );
            world.crash(controller, 301_000 + 4_000 * controller as u64, 500);
        }
        world.run_until(400_000);
        check_invariants(&world, name);
        assert_eq!(
            world.unfinished_jobs(),
            [JobId::from("job-000003")][..0],
            "{name}"
        );
    }
}

/// Two files have the same revision: the same one is in force on all controllers.
#[test]
fn one_of_two_trees_with_the_same_revision_is_in_force() {
    for seed in 1..=4 {
        let jobs = vec![
            job_at(1, "e1", "sweep", 40, 1.0, 8, 12),
            job_at(2, "e2", "sweep", 40, 1.0, 8, 12),
        ];
        let mut world = world(seed, jobs, Some(&tree(5, 24)));
        load_tree(&mut world, 0, Some(&tree(5, 20)));
        limit_teams(&mut world, &["e1", "e2"], 24.0);
        world.run_until(90_000);
        check_invariants(&world, &format!("seed {seed}"));
        assert!(world.unfinished_jobs().is_empty());
    }
}

/// Tasks that need a whole machine, for a team entitled to less than one: one of them runs at a time, no
/// capacity is reserved for the next, and no task is preempted repeatedly for it.
#[test]
fn a_task_larger_than_its_share_runs_without_reserving_more() {
    let text = "[tree]\nrevision = 1\n[node coop]\ngpus = 40\n\
        [node w1]\nparent = coop\nteam = w1\ngpus = 37\n\
        [node e1]\nparent = coop\nteam = e1\ngpus = 3\n";
    let jobs = vec![
        job_at(1, "w1", "sweep", 600, 1.0, 20, 1),
        job_at(2, "e1", "sweep", 3, 4.0, 15, 40),
    ];
    let mut world = world(3, jobs, Some(text));
    let (mut sum, mut max_used): (f64, f64) = (0.0, 0.0);
    for second in 41..150 {
        world.run_until(second * 1_000);
        max_used = max_used.max(gpus_used(&world, "e1"));
        sum += gpus_used(&world, "w1") + gpus_used(&world, "e1");
    }
    check_invariants(&world, "larger than the share");
    assert!(
        world.rules.done.contains(&"job-000002".into()),
        "the tasks larger than the share did not run"
    );
    assert!(max_used <= 8.0, "{max_used} GPUs at once");
    let mean = sum / 109.0;
    assert!(mean >= 32.0, "only {mean} of 40 GPUs are used");
}

/// A team within its share gets a whole gang placed; multi-task gangs on borrowed share keep running, and
/// single-task gangs are preempted.
#[test]
fn gangs_reclaim_share_as_a_whole_and_are_not_preempted_in_part() {
    let jobs = vec![
        job_at(1, "e1", "gang", 4, 4.0, 40, 1),
        // These arrive once the gang runs; the team's limit has no room for all of them.
        with_checkpoint(job_at(2, "e1", "gang", 1, 4.0, 300, 12), 5.0, 2.0),
        with_checkpoint(job_at(3, "e1", "gang", 1, 4.0, 300, 12), 5.0, 2.0),
        with_checkpoint(job_at(4, "e1", "gang", 1, 4.0, 300, 13), 0.0, 0.0),
        job_at(5, "e1", "sweep", 20, 1.0, 300, 13),
        job_at(6, "w1", "gang", 4, 4.0, 30, 25),
    ];
    let mut world = world(4, jobs, Some(&tree(1, 40)));
    world.run_until(24_000);
    assert!(gpus_used(&world, "e1") >= 28.0);
    world.run_until(60_000);
    check_invariants(&world, "gangs");
    let gang = JobId::from("job-000001");
    let whole = world.rules.done.contains(&gang) || gpus_used(&world, "e1") >= 16.0;
    assert!(whole, "the running gang was preempted in part");
    world.run_until(110_000);
    for id in ["job-000001", "job-000006"] {
        assert!(world.rules.done.contains(&id.into()), "{id}");
    }
    assert_eq!(world.machines.broken_gangs, 0);
}

/// A borrower that resubmits short jobs at once keeps its entitlement and no more, and a team outside the
/// tree keeps its flat quota.
#[test]
fn a_borrower_that_resubmits_at_once_gets_no_more_than_its_share() {
    let mut jobs = vec![
        job_at(900, "w1", "sweep", 60, 1.0, 300, 50),
        job_at(901, "out", "sweep", 2, 1.0, 400, 3),
    ];
    for i in 0..60 {
        jobs.push(job_at(i, "e1", "sweep", 20, 1.0, 8, 2 + 3 * i as u64));
    }
    let mut world = world(5, jobs, Some(&tree(1, 40)));
    world.run_until(85_000);
    let mut sum = 0.0;
    for second in 85..125 {
        world.run_until(second * 1_000);
        sum += gpus_used(&world, "w1");
        assert_eq!(gpus_used(&world, "out"), 2.0, "at {second}");
    }
    check_invariants(&world, "immediate resubmission");
    // The root has 40, two of which the team outside the tree uses.
    let mean = sum / 40.0;
    assert!((17.0..=21.0).contains(&mean), "w1 used {mean} of 20 GPUs");
}
