//! A replay of a zone that is cut off, in virtual time: what becomes of its machines, their tasks,
//! and of users who cancel. Simulated.

use jaspertiller::types::{Millis, Zone};

use crate::config::Config;
use crate::sim::{JobPlan, World, ZoneCut, job};

/// The cut begins.
pub const FROM_S: u64 = 60;
/// What is looked at ends so long after the cut.
const AFTER_S: u64 = 90;
const CUT: &str = "b";
/// The controller in the zone.
const INSIDE: usize = 1;

/// What happens to the zone's controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inside {
    Stays,
    /// Before it has marked its workers.
    CrashesAtOnce,
    /// After that.
    CrashesLater,
    /// The zone has none.
    None,
}

impl Inside {
    pub const ALL: [Inside; 4] = [
        Inside::Stays,
        Inside::CrashesLater,
        Inside::CrashesAtOnce,
        Inside::None,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Inside::Stays => "its controller stays",
            Inside::CrashesLater => "its controller crashes after 12 s",
            Inside::CrashesAtOnce => "its controller crashes after 3 s",
            Inside::None => "no controller inside",
        }
    }
}

/// How a cut went.
pub struct Played {
    pub inside: Inside,
    pub for_s: u64,
    pub machines: u32,
    pub kept: bool,
    /// The zone's machines when the cut began, and how many of them were deleted at work.
    pub in_zone: usize,
    pub deleted: u64,
    /// Workers of them whose lease ran out.
    pub expired: usize,
    /// Tasks that run in the zone, and in all, second by second.
    pub running: Vec<(u64, usize, usize)>,
    /// How long the user of a service in the zone waits, who cancels 10 s into the cut.
    pub told_s: Option<f64>,
    pub broken: Vec<String>,
}

/// Plays one cut. Without `kept`, controllers answer for 14 s and nothing is held back: nearest to
/// how it was before zones were kept.
pub fn play(inside: Inside, for_s: u64, machines: u32, kept: bool, seed: u64) -> Played {
    let mut config = Config {
        controllers: if inside == Inside::None { 1 } else { 3 },
        capacity: machines,
        ..Config::default()
    };
    config.timing.heartbeat = Millis(5_000);
    config.timing.lease = Millis(26_000);
    config.timing.cancel = Millis(46_000);
    let services = machines as usize;
    let plan = |(index, kind, tasks, run_ms): (usize, &str, u32, u64)| JobPlan {
        at: Some(2_000 + 200 * index as u64),
        ..job(index, "large", kind, tasks, 1.0, run_ms)
    };
    let standing = (0..services).map(|i| (i, "standing", 2, 0));
    let arrays = (0..services / 2).map(|i| (services + i, "sweep", 4, 25_000));
    let jobs: Vec<JobPlan> = standing.chain(arrays).map(plan).collect();
    let mut world = World::new(config, seed, jobs);
    if !kept {
        world.change_operator_settings(|operator| {
            (operator.keep, operator.hold) = (Millis(14_000), Millis(0))
        });
    }
    world.run_until(FROM_S * 1_000);
    let zone = Zone::from(CUT);
    let machine_ids = world.machines.by_id.iter();
    let up = machine_ids
        .filter(|(_, m)| m.zone == zone && m.stopped_at.is_none() && !m.tasks.is_empty());
    let up: Vec<_> = up
        .map(|(machine_id, m)| (machine_id.clone(), m.agent_epoch))
        .collect();
    world.network.zone_cuts.push(ZoneCut {
        zone: zone.clone(),
        since: FROM_S * 1_000,
        until: (FROM_S + for_s) * 1_000,
        hold: true,
    });
    match inside {
        Inside::CrashesAtOnce => world.crash(INSIDE, (FROM_S + 3) * 1_000, 3_000),
        Inside::CrashesLater => world.crash(INSIDE, (FROM_S + 12) * 1_000, 3_000),
        Inside::Stays | Inside::None => {}
    }
    let cancelled = world.jobs[0].id();
    world.abort_at((FROM_S + 10) * 1_000, 0);
    let mut running = Vec::new();
    for at_s in FROM_S..FROM_S + for_s + AFTER_S {
        world.run_until(at_s * 1_000);
        let present = world.machines.tasks_started(Millis(at_s * 1_000));
        let zones = present.map(|(machine_id, _)| world.machines.by_id[machine_id].zone == zone);
        let (inside, all) = zones.fold((0, 0), |(n, all), here| (n + usize::from(here), all + 1));
        running.push((at_s, inside, all));
    }
    let expired = |(machine_id, agent_epoch): &&(_, u64)| {
        let machine = &world.machines.by_id[machine_id];
        machine.agent_epoch > *agent_epoch
    };
    Played {
        inside,
        for_s,
        machines,
        kept,
        in_zone: up.len(),
        deleted: world.cloud.deleted_at_work,
        expired: up.iter().filter(expired).count(),
        running,
        told_s: world
            .rules
            .aborted
            .get(&cancelled)
            .map(|at| at.secs() - (FROM_S + 10) as f64),
        broken: world.rules.violations.into_iter().collect(),
    }
}
