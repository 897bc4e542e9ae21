//! The simulated world: its configuration, the quota tree in the controllers' settings, the scheduled jobs, and the
//! injected faults.

use std::sync::Arc;

use hierarchical_quota::{Tree, TreeSpec};
use jaspertiller::settings::Settings;

use super::Kind;
use super::demand::{PHASE_S, START_S, TEAMS, TREE, schedule_jobs};
use crate::config::{Config, team};
use crate::sim::{Cut, World};

/// Machines that the cloud can rent out.
const FLEET_MACHINES: u32 = 16;
/// Spread of the tasks' run times around the planned run time, as a fraction of it.
const RUN_TIME_SPREAD: f64 = 0.5;
/// Fraction of the store's responses that are lost in the variant with faults.
const LOST_RESPONSE_SHARE: f64 = 0.03;

/// Builds the quota tree.
///
/// # Panics
///
/// Never in practice: [`TREE`] is a constant, and the tests run it.
pub(super) fn quota_tree() -> Arc<Tree> {
    let built = TreeSpec::parse("contention quota tree", TREE).and_then(|spec| spec.build("", &[]));
    match built {
        Ok((tree, _)) => Arc::new(tree),
        Err(error) => panic!("{error}"),
    }
}

/// Creates a world in which all jobs and faults are scheduled.
pub(super) fn world(kind: Kind, seed: u64) -> World {
    let mut world = World::new(config(kind), seed, Vec::new());
    if kind != Kind::Flat {
        load_quota_tree(&mut world);
    }
    world.machines.run_time_spread = RUN_TIME_SPREAD;
    schedule_jobs(&mut world);
    if kind == Kind::Faults {
        schedule_faults(&mut world);
    }
    world
}

fn config(kind: Kind) -> Config {
    let guarantee = |flat_guarantee: f64| match kind {
        Kind::Flat => flat_guarantee,
        Kind::NoFaults | Kind::Faults => 0.0,
    };
    Config {
        teams: TEAMS
            .iter()
            .map(|demand| team(demand.name, guarantee(demand.flat_guarantee), 0.0))
            .collect(),
        capacity: FLEET_MACHINES,
        ..Config::default()
    }
}

/// Loads the quota tree into the settings of every controller.
fn load_quota_tree(world: &mut World) {
    for settings in &mut world.settings {
        let mut with_tree: Settings = (**settings).clone();
        if let Err(error) = with_tree.load_quota_tree("contention quota tree", TREE) {
            // Unreachable in practice: the tree is a constant that the tests run.
            panic!("{error}");
        }
        *settings = Arc::new(with_tree);
    }
}

/// Schedules crashes of all controllers, an outage of the store, lost responses and a network cut.
fn schedule_faults(world: &mut World) {
    let at_ms = |phase: u64, second: u64| (START_S + phase * PHASE_S + second) * 1_000;
    world.store_faults.lost_response_share = LOST_RESPONSE_SHARE;
    world.crash(0, at_ms(2, 2), 5_000);
    world.crash(1, at_ms(4, 1), 4_000);
    world.crash(2, at_ms(4, 7), 4_000);
    world.store_faults.outages.push((at_ms(3, 1), at_ms(3, 9)));
    world.network.cuts.push(Cut {
        controller: 1,
        from_store: true,
        from_workers: true,
        from_peers: true,
        since: at_ms(7, 1),
        until: at_ms(7, 12),
        hold: true,
    });
}
