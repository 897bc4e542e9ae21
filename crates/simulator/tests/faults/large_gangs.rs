//! Gangs whose tasks fill more pages than one transaction can write. All of their tasks start or none does, and one
//! that is done in part is done, also if controllers stop between any two of its transactions.

use std::sync::Arc;

use cluster_simulator::sim::{JobPlan, World, job};
use jaspertiller::jobs::record::page_key;
use jaspertiller::types::{JobId, MachineId, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::combined_faults::leader;
use super::{CONTROLLERS, FAULTS_END, enable_logging_if_requested, finish, search, seeds};

/// Largest value of the store in KiB in runs with large gangs, so that a page holds ten tasks.
const SMALL_VALUE_KB: f64 = 1.0;
/// Index of the first large gang in the ids of jobs.
const FIRST_INDEX: usize = 500;
/// How many large gangs a run of any search has, if it has them.
const GANGS_IN_SEARCHES: usize = 2;
/// Steps in which a run is followed until something happens, in milliseconds.
const STEP_MS: u64 = 5;

/// Lets all controllers store pages of ten tasks. Must be called before they start.
fn use_small_pages(world: &mut World) {
    for settings in &mut world.settings {
        Arc::make_mut(settings).deployment.state.value_kb = SMALL_VALUE_KB;
    }
}

/// A gang of seven to thirteen pages.
fn large_gang(index: usize, at: u64, rng: &mut SmallRng) -> JobPlan {
    let run_ms = rng.random_range(3_000..30_000);
    let tasks = rng.random_range(61..=130);
    let mut plan = job(FIRST_INDEX + index, "large", "gang", tasks, 0.0, run_ms);
    plan.body["vcpus"] = 0.5.into();
    plan.body["memoryGb"] = 0.4.into();
    plan.body["oneZone"] = rng.random_bool(0.5).into();
    plan.at = Some(at);
    plan
}

/// Submits the large gangs that are drawn for a seed of any search: two in a third of the runs. Must be called before
/// the controllers start.
pub(crate) fn inject(world: &mut World, seed: u64) {
    let Some(mut rng) = draw(seed) else { return };
    use_small_pages(world);
    for index in 0..GANGS_IN_SEARCHES {
        let at = rng.random_range(5_000..60_000);
        world.submit(large_gang(index, at, &mut rng));
    }
}

/// The source of the draws for a seed; `None` if it has no large gangs, and always with `LARGE_GANGS=off`.
fn draw(seed: u64) -> Option<SmallRng> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x9a46);
    let off = std::env::var("LARGE_GANGS").is_ok_and(|value| value == "off");
    (!off && rng.random_bool(0.33)).then_some(rng)
}

/// Large gangs in the runs of a search.
#[derive(Default)]
pub(crate) struct LargeGangCount {
    submitted: u64,
    done: u64,
    cancelled: u64,
}

impl LargeGangCount {
    /// Counts the large gangs of the run with a seed.
    pub(crate) fn add(&mut self, world: &World, seed: u64) {
        if draw(seed).is_none() {
            return;
        }
        for index in FIRST_INDEX..FIRST_INDEX + GANGS_IN_SEARCHES {
            let id = JobId::from(format!("job-{index:06}"));
            self.submitted += 1;
            self.done += u64::from(world.rules.done.contains(&id));
            self.cancelled += u64::from(world.rules.aborted.contains_key(&id));
        }
    }

    /// Asserts that all large gangs were done, or cancelled by their users, and most of them were done.
    pub(crate) fn assert_observed(&self) {
        let Self {
            submitted,
            done,
            cancelled,
        } = self;
        println!("{submitted} large gangs, {done} done, {cancelled} cancelled");
        assert_eq!(
            done + cancelled,
            *submitted,
            "large gangs that have not ended"
        );
        assert!(*done * 2 >= *submitted, "only {done} large gangs were done");
    }
}

/// How many pages of a job the records show with placed tasks, and how many pages it has.
fn placed_pages(world: &World, id: &JobId) -> (u32, u32) {
    let tasks = world.machines.jobs.get(id).map_or(0, |job| job.spec.tasks);
    let pages = tasks.div_ceil(10);
    let is_placed = |page: &u32| {
        let page = world.store.get(&page_key(id, *page));
        page.is_some_and(|(data, ..)| data.contains("\"p\""))
    };
    ((0..pages).filter(is_placed).count() as u32, pages)
}

/// Runs until a condition holds, or until `end` in milliseconds. Returns whether it holds.
fn run_until_true(world: &mut World, end: u64, holds: impl Fn(&World) -> bool) -> bool {
    while world.now < end && !holds(world) {
        world.run_until(world.now + STEP_MS);
    }
    holds(world)
}

/// Stops the leader, three of the five controllers, or all of them now; they are back after up to 8 s.
fn stop_controllers(world: &mut World, rng: &mut SmallRng) {
    let leader = leader(world);
    let first = rng.random_range(0..CONTROLLERS);
    let stopped: Vec<usize> = match rng.random_range(0..3) {
        0 => vec![leader],
        1 => (0..CONTROLLERS).collect(),
        _ => (first..first + 3)
            .map(|index| index % CONTROLLERS)
            .collect(),
    };
    for controller in stopped {
        world.crash(controller, world.now, rng.random_range(50..8_000));
    }
}

/// A machine on which a task of a job has started.
fn machine_of(world: &World, id: &JobId) -> Option<MachineId> {
    let started = world.machines.tasks_started(Millis(world.now));
    let mut of_job = started.filter(|(_, task)| task.job == *id);
    of_job.next().map(|(machine_id, _)| machine_id.clone())
}

/// What a run of the search has met.
#[derive(Default)]
struct Met {
    stopped_while_placed_in_part: u64,
    lost_a_machine_when_done: u64,
    stopped_when_done: u64,
}

/// Guards against a large gang that never ends: its tasks were placed and recorded as done by several transactions, so
/// that it could be left placed or done in part, and then nothing of it was started any more.
#[test]
fn large_gangs_end_although_controllers_stop_between_their_transactions() {
    enable_logging_if_requested();
    let (mut met, mut observed) = (Met::default(), search::Observed::default());
    for seed in seeds("GANGS", 16) {
        let mut world = super::world(seed);
        search::inject(&mut world, seed);
        play(&mut world, seed, &mut met);
        finish(&mut world, &format!("seed {seed}"));
        observed.add(&world, seed);
    }
    let Met {
        stopped_while_placed_in_part,
        lost_a_machine_when_done,
        stopped_when_done,
    } = met;
    println!(
        "placed in part {stopped_while_placed_in_part}, machine lost {lost_a_machine_when_done}, stopped when done {stopped_when_done}"
    );
    for (what, count) in [
        (
            "controllers stopped while a gang was placed in part",
            stopped_while_placed_in_part,
        ),
        (
            "a machine was lost when a gang was done",
            lost_a_machine_when_done,
        ),
        (
            "controllers stopped when a gang was done",
            stopped_when_done,
        ),
    ] {
        assert!(count >= 4, "{what}: only {count} times");
    }
    observed.assert_sufficient();
}

/// Plays one large gang after the other, with faults at the moments that matter.
fn play(world: &mut World, seed: u64, met: &mut Met) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x6a26);
    use_small_pages(world);
    // A service that leaves its team too little for another of its jobs.
    world.abort_at(30_000, 2);
    for index in 0..3 {
        let from = 8_000 + 36_000 * index as u64;
        world.run_until(from);
        let mut plan = large_gang(10 + index, from + 100, &mut rng);
        plan.run_ms = rng.random_range(500..4_000);
        let id = plan.id();
        world.submit(plan);
        let end = (from + 34_000).min(FAULTS_END - 10_000);
        let stop_after = rng.random_range(1..=6);
        let is_partly_placed = |world: &World| {
            let (placed, pages) = placed_pages(world, &id);
            placed >= stop_after && placed < pages
        };
        if rng.random_bool(0.7) && run_until_true(world, end, is_partly_placed) {
            met.stopped_while_placed_in_part += 1;
            stop_controllers(world, &mut rng);
        }
        let machine_id = run_until_true(world, end, |world| machine_of(world, &id).is_some())
            .then(|| machine_of(world, &id))
            .flatten();
        let is_done = |world: &World| world.machines.completed.iter().any(|task| task.job == id);
        if run_until_true(world, end, is_done) {
            if rng.random_bool(0.6)
                && let Some(machine_id) = machine_id
            {
                met.lost_a_machine_when_done += 1;
                world.machines.kill(&machine_id, Millis(world.now));
            }
            if rng.random_bool(0.6) {
                met.stopped_when_done += 1;
                world.run_until(world.now + rng.random_range(0..1_500));
                stop_controllers(world, &mut rng);
            }
        }
    }
}
