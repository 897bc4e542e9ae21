//! Bursts of one class or one team against complete controllers, combined with faults: the store accepts
//! far fewer writes than are requested, and still every class and every team is served.

use std::collections::BTreeMap;

use cluster_simulator::config::{Config, team};
use cluster_simulator::sim::{Cut, JobPlan, World, ZoneCut, job};
use jaspertiller::types::Zone;

const CONTROLLERS: usize = 5;
/// Seconds until which users submit; all submitted jobs have to be served by `END_S`.
const ARRIVALS_S: u64 = 60;
const END_S: u64 = 150;

/// Jobs of one class that arrive at a steady rate.
struct Stream {
    class: &'static str,
    team: &'static str,
    priority: &'static str,
    kind: &'static str,
    tasks: u32,
    per_s: f64,
}

const fn stream(
    (class, team, priority): (&'static str, &'static str, &'static str),
    kind: &'static str,
    tasks: u32,
    per_s: f64,
) -> Stream {
    Stream {
        class,
        team,
        priority,
        kind,
        tasks,
        per_s,
    }
}

fn jobs(streams: &[Stream]) -> Vec<JobPlan> {
    let mut jobs = Vec::new();
    for stream in streams {
        let count = (stream.per_s * ARRIVALS_S as f64) as u64;
        for n in 0..count {
            let mut plan = job(
                jobs.len(),
                stream.team,
                stream.kind,
                stream.tasks,
                1.0,
                2_500,
            );
            plan.body["lot"] = stream.class.into();
            plan.body["rank"] = stream.priority.into();
            plan.body["kit"] = format!("img-{}", stream.class).into();
            // Capacity of the cloud for both machine types together.
            plan.body["loaners"] = true.into();
            plan.at = Some(3_000 + (n as f64 / stream.per_s * 1e3) as u64);
            jobs.push(plan);
        }
    }
    jobs
}

fn config() -> Config {
    let mut config = Config {
        controllers: CONTROLLERS,
        classes: ["top", "batch", "train"].map(String::from).into(),
        teams: vec![
            team("guests", 0.0, 0.0),
            team("small", 0.0, 0.0),
            team("other", 0.0, 0.0),
        ],
        capacity: 60,
        ..Config::default()
    };
    config.state.write_rps = 20.0;
    config
}

/// The normal load, which alone uses about half of the write budget.
const NORMAL_LOAD: [Stream; 3] = [
    stream(("batch", "small", "normal"), "sweep", 4, 0.7),
    stream(("train", "other", "urgent"), "gang", 2, 0.5),
    stream(("top", "small", "critical"), "sweep", 1, 0.5),
];

const BURSTS: [(&str, Stream); 4] = [
    (
        "the top class",
        stream(("top", "guests", "critical"), "sweep", 1, 12.0),
    ),
    (
        "arrays",
        stream(("batch", "guests", "normal"), "sweep", 6, 12.0),
    ),
    (
        "gangs",
        stream(("train", "guests", "urgent"), "gang", 2, 10.0),
    ),
    (
        "an unconfigured class",
        stream(("new", "guests", "critical"), "sweep", 1, 12.0),
    ),
];

type Fault = (&'static str, fn(&mut World));

const FAULTS: [Fault; 8] = [
    ("no faults", |_| {}),
    ("the leader crashes, then another controller", |w| {
        w.crash(0, 20_000, 400);
        w.crash(1, 31_000, 5_000);
    }),
    ("all controllers restart almost at once, twice", |w| {
        for at in [22_000, 47_000] {
            (0..CONTROLLERS).for_each(|n| w.crash(n, at + 7 * n as u64, 300));
        }
    }),
    ("the store is unavailable", |w| {
        w.store_faults.outages.push((25_000, 37_000))
    }),
    (
        "two controllers are partitioned from the store, one after the other",
        |w| {
            for controller in 0..2 {
                let since = 15_000 + 22_000 * controller as u64;
                w.network.cuts.push(Cut {
                    controller,
                    from_store: true,
                    from_workers: false,
                    from_peers: false,
                    since,
                    until: since + 18_000,
                    hold: true,
                });
            }
        },
    ),
    ("all controllers are partitioned from each other", |w| {
        for controller in 0..CONTROLLERS {
            w.network.cuts.push(Cut {
                controller,
                from_store: false,
                from_workers: false,
                from_peers: true,
                since: 15_000,
                until: 45_000,
                hold: false,
            });
        }
    }),
    ("a zone is partitioned", |w| {
        w.network.zone_cuts.push(ZoneCut {
            zone: Zone::from("b"),
            since: 20_000,
            until: 45_000,
            hold: true,
        });
    }),
    ("responses are lost and transactions arrive late", |w| {
        w.store_faults.lost_response_share = 0.05;
    }),
];

/// Submitted and finished jobs of each class and each team.
fn served(world: &World) -> BTreeMap<String, (u32, u32)> {
    let mut served: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    for plan in &world.jobs {
        let done = u32::from(world.rules.done.contains(&plan.id()));
        for name in ["lot", "crew"] {
            let key = format!("{name} {}", plan.body[name].as_str().unwrap_or_default());
            let counts = served.entry(key).or_default();
            counts.0 += 1;
            counts.1 += done;
        }
    }
    served
}

#[test]
fn no_burst_starves_a_class_or_a_team_under_faults() {
    for (burst, stream) in &BURSTS {
        for (fault, inject) in &FAULTS {
            let mut streams: Vec<Stream> = NORMAL_LOAD.into();
            streams.push(Stream { ..*stream });
            let mut world = World::new(config(), 7, jobs(&streams));
            inject(&mut world);
            world.run_until(END_S * 1_000);
            let name = format!("a burst of {burst}, {fault}");
            let violations = &world.rules.violations;
            assert!(violations.is_empty(), "{name}: {violations:?}");
            for (group, (submitted, done)) in served(&world) {
                // The burst itself exceeds the capacity.
                let in_burst = group == format!("lot {}", stream.class) || group == "crew guests";
                let min_share = match *fault {
                    _ if in_burst => 0.5,
                    "no faults" => 0.95,
                    _ => 0.75,
                };
                let share = f64::from(done) / f64::from(submitted);
                assert!(
                    share >= min_share,
                    "{name}: {done} of {submitted} jobs of {group} finished"
                );
            }
            let throttled_ratio =
                world.fault_counts.throttled_transactions as f64 / world.store.written as f64;
            // Submissions that a partition delayed arrive all at once.
            let max_throttled_ratio = if *fault == "no faults" { 0.005 } else { 0.02 };
            assert!(
                throttled_ratio < max_throttled_ratio,
                "{name}: {throttled_ratio} throttled transactions per write"
            );
        }
    }
}

/// The store accepts only half of its configured rate without announcing it: rejected writes must not be
/// retried without backoff.
#[test]
fn a_halved_store_rate_limit_is_detected() {
    let mut settings = config();
    settings.state.write_rps = 40.0;
    let mut world = World::new(settings, 7, jobs(&NORMAL_LOAD));
    world.store.halve_limit();
    world.run_until(END_S * 1_000);
    let violations = &world.rules.violations;
    assert!(violations.is_empty(), "{violations:?}");
    let throttled_ratio =
        world.fault_counts.throttled_transactions as f64 / world.store.written as f64;
    assert!(
        throttled_ratio < 0.1,
        "{throttled_ratio} throttled transactions per write"
    );
    let left = world.unfinished_jobs().len();
    assert!(left == 0, "{left} of {} jobs unfinished", world.jobs.len());
}
