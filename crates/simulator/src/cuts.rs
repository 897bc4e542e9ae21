//! Replays of a network partition of one zone, in virtual time. They measure which of the zone's machines and tasks
//! keep running, and how long users wait who cancel jobs during the partition.

use jaspertiller::types::{MachineId, Millis, Zone};

use crate::config::Config;
use crate::sim::{JobPlan, World, ZoneCut, job};

/// Second at which the cut begins: all tasks run by then.
pub const FROM_S: u64 = 60;
/// Seconds that are played after the cut.
const AFTER_S: u64 = 90;
/// Seconds from the beginning of the cut to the cancellation of a service in the zone.
const CANCEL_AFTER_S: u64 = 10;
/// The zone that is cut off.
const ZONE: &str = "b";
/// The index of the controller in the zone.
const ZONE_CONTROLLER: usize = 1;
/// Seconds from the beginning of the cut to an early crash: before the controller has marked its workers.
const EARLY_CRASH_AFTER_S: u64 = 3;
/// Seconds from the beginning of the cut to a late crash: after the controller has marked its workers.
const LATE_CRASH_AFTER_S: u64 = 12;
/// Milliseconds that a crashed controller stays down.
const DOWN_MS: u64 = 3_000;
/// How long controllers answer in a zone that is given up.
const GIVEN_UP_KEEP: Millis = Millis(14_000);

/// What happens to the zone's controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inside {
    /// It keeps running.
    Stays,
    /// It crashes before it has marked its workers.
    CrashesAtOnce,
    /// It crashes after it has marked its workers.
    CrashesLater,
    /// The zone has no controller.
    None,
}

impl Inside {
    /// All cases, in the order of the report.
    pub const ALL: [Inside; 4] = [
        Inside::Stays,
        Inside::CrashesLater,
        Inside::CrashesAtOnce,
        Inside::None,
    ];

    /// The case as the report calls it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Inside::Stays => "its controller stays",
            Inside::CrashesLater => "its controller crashes after 12 s",
            Inside::CrashesAtOnce => "its controller crashes after 3 s",
            Inside::None => "no controller inside",
        }
    }
}

/// Whether the cut-off zone's machines are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Controllers keep the zone's machines, with the operator's default settings.
    Keep,
    /// Controllers renew leases for a short time only, and deletions are not held: nearly the behaviour before
    /// partitioned zones were kept.
    GiveUp,
}

/// One cut to play.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// What happens to the zone's controller.
    pub inside: Inside,
    /// Seconds that the cut lasts.
    pub for_s: u64,
    /// Machines that the cloud can rent out, in all zones.
    pub machines: u32,
    /// Whether the zone is kept.
    pub policy: Policy,
}

/// The tasks that run at one second.
#[derive(Clone, Copy, Debug)]
pub struct RunningTasks {
    /// Second of the run.
    pub at_s: u64,
    /// Tasks in the zone.
    pub in_zone: usize,
    /// Tasks in all zones.
    pub all: usize,
}

/// The result of one cut.
pub struct Played {
    /// What was played.
    pub case: Case,
    /// Machines with tasks in the zone when the cut began.
    pub in_zone: usize,
    /// Machines that were deleted while they had tasks.
    pub deleted: u64,
    /// Machines of `in_zone` whose workers' leases expired.
    pub expired: usize,
    /// Tasks that run, second by second.
    pub running: Vec<RunningTasks>,
    /// Seconds until the user who cancels a service in the zone is told that it is over; none if never.
    pub told_s: Option<f64>,
    /// The protocol's rules that were broken, and how.
    pub violations: Vec<String>,
}

/// Plays one cut.
#[must_use]
pub fn play(case: Case, seed: u64) -> Played {
    let mut world = World::new(config(case), seed, jobs(case.machines));
    if case.policy == Policy::GiveUp {
        world.change_operator_settings(|operator| {
            (
                operator.partition_lease_keep,
                operator.partitioned_zone_hold,
            ) = (GIVEN_UP_KEEP, Millis(0))
        });
    }
    world.run_until(FROM_S * 1_000);
    let zone = Zone::from(ZONE);
    let busy = busy_machines(&world, &zone);
    cut(&mut world, case);
    let cancelled = world.jobs[0].id();
    world.abort_at((FROM_S + CANCEL_AFTER_S) * 1_000, 0);
    let seconds = FROM_S..FROM_S + case.for_s + AFTER_S;
    let running = seconds.map(|at_s| {
        world.run_until(at_s * 1_000);
        running_tasks(&world, &zone, at_s)
    });
    let running = running.collect();
    let expired = |(machine_id, agent_epoch): &&(MachineId, u64)| {
        world.machines.by_id[machine_id].agent_epoch > *agent_epoch
    };
    let told_at = world.rules.aborted.get(&cancelled);
    Played {
        case,
        in_zone: busy.len(),
        deleted: world.cloud.deleted_at_work,
        expired: busy.iter().filter(expired).count(),
        running,
        told_s: told_at.map(|at| at.secs() - (FROM_S + CANCEL_AFTER_S) as f64),
        violations: world.rules.violations.into_iter().collect(),
    }
}

/// The cluster of a case.
fn config(case: Case) -> Config {
    let mut config = Config {
        controllers: if case.inside == Inside::None { 1 } else { 3 },
        capacity: case.machines,
        ..Config::default()
    };
    config.timing.heartbeat = Millis(5_000);
    config.timing.lease = Millis(26_000);
    config.timing.cancel = Millis(46_000);
    config
}

/// A service for each machine, and an array for every second one.
fn jobs(machines: u32) -> Vec<JobPlan> {
    let count = machines as usize;
    let plan = |index: usize, kind: &str, tasks: u32, run_ms: u64| JobPlan {
        at: Some(2_000 + 200 * index as u64),
        ..job(index, "large", kind, tasks, 1.0, run_ms)
    };
    let services = (0..count).map(|index| plan(index, "standing", 2, 0));
    let arrays = (count..count + count / 2).map(|index| plan(index, "sweep", 4, 25_000));
    services.chain(arrays).collect()
}

/// Machines of a zone that are up and have tasks, with their agent epochs.
fn busy_machines(world: &World, zone: &Zone) -> Vec<(MachineId, u64)> {
    let machines = world.machines.by_id.iter();
    let busy = machines.filter(|(_, machine)| {
        machine.zone == *zone && machine.stopped_at.is_none() && !machine.tasks.is_empty()
    });
    busy.map(|(machine_id, machine)| (machine_id.clone(), machine.agent_epoch))
        .collect()
}

/// Schedules the cut, and the crash of the zone's controller.
fn cut(world: &mut World, case: Case) {
    world.network.zone_cuts.push(ZoneCut {
        zone: Zone::from(ZONE),
        since: FROM_S * 1_000,
        until: (FROM_S + case.for_s) * 1_000,
        hold: true,
    });
    let crash_after_s = match case.inside {
        Inside::CrashesAtOnce => EARLY_CRASH_AFTER_S,
        Inside::CrashesLater => LATE_CRASH_AFTER_S,
        Inside::Stays | Inside::None => return,
    };
    world.crash(ZONE_CONTROLLER, (FROM_S + crash_after_s) * 1_000, DOWN_MS);
}

/// Counts the tasks that run at a second.
fn running_tasks(world: &World, zone: &Zone, at_s: u64) -> RunningTasks {
    let mut running = RunningTasks {
        at_s,
        in_zone: 0,
        all: 0,
    };
    for (machine_id, _) in world.machines.tasks_started(Millis(at_s * 1_000)) {
        let is_in_zone = world.machines.by_id[machine_id].zone == *zone;
        running.in_zone += usize::from(is_in_zone);
        running.all += 1;
    }
    running
}
