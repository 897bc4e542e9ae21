use super::*;
use crate::jobs::cache::tests::jobs;
use crate::jobs::cache::{Evidence, JobCache};
use crate::jobs::{Phase, Placement, Task};
use crate::types::{AgentEpoch, Attempt, JobId, ShardId};

const NOW: Millis = Millis(100_000);
const ATTEMPT: Attempt = Attempt(1);

fn placement() -> Placement {
    Placement {
        machine_id: "vm-1".into(),
        shard: ShardId::parse("a.0").unwrap(),
        agent_epoch: AgentEpoch(1),
        attempt: ATTEMPT,
    }
}

fn place() -> TaskChange {
    TaskChange::Place(placement())
}

fn finish() -> TaskChange {
    TaskChange::Finish { attempt: ATTEMPT }
}

fn release() -> TaskChange {
    TaskChange::Release {
        attempt: ATTEMPT,
        evidence: Evidence::Deleted,
    }
}

/// A job of this kind with three tasks, the first `placed` of which are placed, and with these changes of
/// its first tasks.
fn job(
    kind: JobKind,
    priority: PriorityClass,
    placed: usize,
    changes: &[TaskChange],
) -> (JobCache, JobId) {
    let task = |index| {
        if index < placed {
            Task::Placed(placement())
        } else {
            Task::NEVER_PLACED
        }
    };
    let (mut jobs, id) = jobs(3, &[(0, (0..3).map(task).collect())]);
    let job = jobs.get_mut(&id).unwrap();
    (job.spec.kind, job.spec.priority) = (kind, priority);
    for (index, change) in changes.iter().enumerate() {
        jobs.add_pending_change(&id, index as u32, change.clone());
    }
    (jobs, id)
}

#[test]
fn the_lane_and_the_due_time_follow_from_the_changes() {
    use JobKind::{Array, Gang};
    use PriorityClass::{Normal, Urgent};
    let at = |offset: i64| Millis(NOW.0.saturating_add_signed(offset));
    let all = || vec![finish(); 3];
    type Case = (
        JobKind,
        PriorityClass,
        usize,
        Vec<TaskChange>,
        Lane,
        i64,
        i64,
    );
    let cases: Vec<Case> = vec![
        // kind, priority, placed, changes, lane, due in ms: normally, and while writes are scarce
        (Array, Normal, 3, all(), Lane::Completions, 0, 0),
        (Gang, Normal, 3, vec![finish()], Lane::Completions, 0, 0),
        (
            Array,
            Normal,
            3,
            vec![finish()],
            Lane::PartialCompletions,
            3_000,
            45_000,
        ),
        (Gang, Normal, 3, vec![release()], Lane::Placements, 0, 0),
        (Gang, Normal, 2, vec![release()], Lane::Placements, 400, 400),
        (
            Gang,
            Normal,
            0,
            vec![place(); 3],
            Lane::Completions,
            -2_000,
            -2_000,
        ),
        (Array, Normal, 0, vec![place()], Lane::Placements, 0, 2_500),
        (Array, Normal, 0, vec![place(); 3], Lane::Placements, 0, 0),
        (Array, Normal, 1, vec![release()], Lane::Placements, 0, 0),
        (
            Array,
            Urgent,
            0,
            vec![place()],
            Lane::Placements,
            -2_000,
            -2_000,
        ),
    ];
    for (kind, priority, placed, changes, lane, normal, scarce) in cases {
        let (jobs, id) = job(kind, priority, placed, &changes);
        for (pressure, offset) in [
            (WritePressure::Normal, normal),
            (WritePressure::Scarce, scarce),
        ] {
            let schedule = choose(jobs.get(&id).unwrap(), pressure, || false, NOW);
            let due = at(offset);
            let case = format!("{kind:?}, {priority:?}, {placed}, {changes:?}, {pressure:?}");
            assert_eq!(schedule, CommitSchedule { lane, due }, "{case}");
        }
    }
}

#[test]
fn completions_are_batched_for_less_time_near_a_limit() {
    let (jobs, id) = job(JobKind::Array, PriorityClass::Normal, 3, &[finish()]);
    let job = jobs.get(&id).unwrap();
    let cases = [
        (WritePressure::Normal, NOW),
        (WritePressure::Scarce, NOW + BATCH_INTERVAL),
    ];
    for (pressure, due) in cases {
        let lane = Lane::PartialCompletions;
        let schedule = choose(job, pressure, || true, NOW);
        assert_eq!(schedule, CommitSchedule { lane, due }, "{pressure:?}");
    }
}

#[test]
fn a_cancelled_job_ends_after_its_tasks_have_left() {
    let cases = [
        // number of tasks with a pending release, of two placed tasks
        (1, NOW + LAST_TASKS_TIMEOUT),
        (2, NOW - URGENT_HEAD_START),
    ];
    for (left, due) in cases {
        let changes = vec![release(); left];
        let (mut jobs, id) = job(JobKind::Array, PriorityClass::Normal, 2, &changes);
        jobs.get_mut(&id).unwrap().record.phase = Phase::Aborting;
        let job = jobs.get(&id).unwrap();
        let schedule = choose(job, WritePressure::Normal, || false, NOW);
        let lane = Lane::Completions;
        assert_eq!(schedule, CommitSchedule { lane, due }, "{left} of 2");
    }
}
