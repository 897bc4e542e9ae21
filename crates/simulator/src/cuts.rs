//! Simulations of a network partition of one zone, in virtual time. They measure which of the zone's machines and
//! tasks keep running, and how long a user waits who cancels a job during the partition.

use jaspertiller::types::{MachineId, Millis, Zone};

use crate::config::Config;
use crate::sim::{JobPlan, World, ZoneCut, job};

/// Second at which the partition begins: all tasks run by then.
pub const PARTITION_START_S: u64 = 60;
/// Seconds that are simulated after the partition has ended.
const RECOVERY_S: u64 = 90;
/// Seconds from the beginning of the partition to the cancellation of a service in the zone.
const CANCEL_AFTER_S: u64 = 10;
/// The partitioned zone.
const ZONE: &str = "b";
/// Index of the controller in the partitioned zone.
const ZONE_CONTROLLER: usize = 1;
/// Seconds from the beginning of the partition to an early crash: before the controller has marked its workers.
const EARLY_CRASH_AFTER_S: u64 = 3;
/// Seconds from the beginning of the partition to a late crash: after the controller has marked its workers.
const LATE_CRASH_AFTER_S: u64 = 12;
/// Milliseconds until a crashed controller restarts.
const DOWN_MS: u64 = 3_000;
/// How long controllers renew leases in a partitioned zone that is given up.
const GIVE_UP_LEASE_KEEP: Millis = Millis(14_000);

/// What happens to the partitioned zone's controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerFate {
    /// It keeps running.
    KeepsRunning,
    /// It crashes before it has marked its workers.
    CrashesEarly,
    /// It crashes after it has marked its workers.
    CrashesLate,
    /// The zone has no controller.
    Absent,
}

impl ControllerFate {
    /// All cases, in the order of the report.
    pub const ALL: [ControllerFate; 4] = [
        ControllerFate::KeepsRunning,
        ControllerFate::CrashesLate,
        ControllerFate::CrashesEarly,
        ControllerFate::Absent,
    ];

    /// The name of the case in the report.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            ControllerFate::KeepsRunning => "zone's controller keeps running",
            ControllerFate::CrashesLate => "zone's controller crashes after 12 s",
            ControllerFate::CrashesEarly => "zone's controller crashes after 3 s",
            ControllerFate::Absent => "no controller in the zone",
        }
    }
}

/// Whether the partitioned zone's machines are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Controllers keep the zone's machines, with the operator's default settings.
    Keep,
    /// Controllers renew leases for a short time only, and deletions are not held back. This is close to the behaviour
    /// without support for keeping partitioned zones.
    GiveUp,
}

/// One partition to simulate.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// What happens to the zone's controller.
    pub controller_fate: ControllerFate,
    /// Duration of the partition in seconds.
    pub duration_s: u64,
    /// Machines that the cloud can rent out, in all zones.
    pub machines: u32,
    /// Whether the zone's machines are kept.
    pub policy: Policy,
}

/// Number of running tasks at one second.
#[derive(Clone, Copy, Debug)]
pub struct RunningTasks {
    /// Second of the simulation.
    pub at_s: u64,
    /// Running tasks in the partitioned zone.
    pub in_zone: usize,
    /// Running tasks in all zones.
    pub all: usize,
}

/// Measurements of one partition.
pub struct CaseResult {
    /// The simulated case.
    pub case: Case,
    /// Machines with tasks in the zone when the partition began.
    pub busy_machines: usize,
    /// Healthy and reachable machines, in any zone, that were deleted while they had tasks.
    pub deleted: u64,
    /// Machines of `busy_machines` whose workers' leases expired.
    pub expired: usize,
    /// Running tasks, one entry a second from the beginning of the partition on.
    pub running: Vec<RunningTasks>,
    /// Seconds from the cancellation of a service in the zone until its user learns that the service has ended; none if
    /// the user does not learn it before the simulation ends.
    pub cancel_reported_s: Option<f64>,
    /// Violations of the protocol's rules, each with the rule's name.
    pub violations: Vec<String>,
}

/// Simulates one partition.
#[must_use]
pub fn simulate(case: Case, seed: u64) -> CaseResult {
    let mut world = World::new(config(case), seed, jobs(case.machines));
    if case.policy == Policy::GiveUp {
        world.change_operator_settings(|operator| {
            (
                operator.partition_lease_keep,
                operator.partitioned_zone_hold,
            ) = (GIVE_UP_LEASE_KEEP, Millis(0))
        });
    }
    world.run_until(PARTITION_START_S * 1_000);
    let zone = Zone::from(ZONE);
    let busy = busy_machines(&world, &zone);
    schedule_faults(&mut world, case);
    let cancelled_job = world.jobs[0].id();
    world.abort_at((PARTITION_START_S + CANCEL_AFTER_S) * 1_000, 0);
    let seconds = PARTITION_START_S..PARTITION_START_S + case.duration_s + RECOVERY_S;
    let running = seconds.map(|at_s| {
        world.run_until(at_s * 1_000);
        running_tasks(&world, &zone, at_s)
    });
    let running = running.collect();
    let expired = |(machine_id, agent_epoch): &&(MachineId, u64)| {
        world.machines.by_id[machine_id].agent_epoch > *agent_epoch
    };
    let cancelled_at = world.rules.aborted.get(&cancelled_job);
    CaseResult {
        case,
        busy_machines: busy.len(),
        deleted: world.cloud.deleted_at_work,
        expired: busy.iter().filter(expired).count(),
        running,
        cancel_reported_s: cancelled_at
            .map(|at| at.secs() - (PARTITION_START_S + CANCEL_AFTER_S) as f64),
        violations: world.rules.violations.into_iter().collect(),
    }
}

/// Builds the configuration of a case.
fn config(case: Case) -> Config {
    let mut config = Config {
        controllers: if case.controller_fate == ControllerFate::Absent {
            1
        } else {
            3
        },
        capacity: case.machines,
        ..Config::default()
    };
    config.timing.heartbeat = Millis(5_000);
    config.timing.lease = Millis(26_000);
    config.timing.cancel = Millis(46_000);
    config
}

/// Builds the jobs: one service per machine, and one array for every two machines.
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

/// Lists the machines of a zone that are up and have tasks, with their agent epochs.
fn busy_machines(world: &World, zone: &Zone) -> Vec<(MachineId, u64)> {
    let machines = world.machines.by_id.iter();
    let busy = machines.filter(|(_, machine)| {
        machine.zone == *zone && machine.stopped_at.is_none() && !machine.tasks.is_empty()
    });
    busy.map(|(machine_id, machine)| (machine_id.clone(), machine.agent_epoch))
        .collect()
}

/// Schedules the partition, and the crash of the zone's controller if the case has one.
fn schedule_faults(world: &mut World, case: Case) {
    world.network.zone_cuts.push(ZoneCut {
        zone: Zone::from(ZONE),
        since: PARTITION_START_S * 1_000,
        until: (PARTITION_START_S + case.duration_s) * 1_000,
        hold: true,
    });
    let crash_after_s = match case.controller_fate {
        ControllerFate::CrashesEarly => EARLY_CRASH_AFTER_S,
        ControllerFate::CrashesLate => LATE_CRASH_AFTER_S,
        ControllerFate::KeepsRunning | ControllerFate::Absent => return,
    };
    world.crash(
        ZONE_CONTROLLER,
        (PARTITION_START_S + crash_after_s) * 1_000,
        DOWN_MS,
    );
}

/// Counts the tasks that run at second `at_s`.
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
