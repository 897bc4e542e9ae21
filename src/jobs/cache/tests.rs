use super::*;
use crate::jobs::api::{JobStage, parse, tests::body};
use crate::jobs::record::{JobRecord, encode_page, job_key, page_key};
use crate::jobs::{JobKind, Phase, Placement, Task};
use crate::types::{AgentEpoch, Attempt, Millis, ShardId};

fn placed(machine_id: &str) -> Task {
    Task::Placed(Placement {
        machine_id: machine_id.into(),
        shard: ShardId::parse("a.0").unwrap(),
        agent_epoch: AgentEpoch(1),
        attempt: Attempt(1),
    })
}

pub(crate) fn jobs(tasks: u32, pages: &[(u32, Vec<Task>)]) -> (JobCache, JobId) {
    let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.tasks, spec.kind) = (tasks, JobKind::Array);
    let record = JobRecord {
        phase: Phase::Active,
        owner: "n0".into(),
        tasks,
        page_size: 4,
        spec: Some(spec),
    };
    let mut jobs = JobCache::default();
    let record = serde_json::to_string(&record).unwrap();
    jobs.apply(&job_key(&id), Some(&record), Revision(1), Millis(1));
    for (page, tasks) in pages {
        let text = encode_page(tasks);
        jobs.apply(&page_key(&id, *page), Some(&text), Revision(2), Millis(1));
    }
    (jobs, id)
}

/// The response to a cancellation arrived after the watch had delivered the job's end. The older record restored
/// the job, which was then reported to users as queued.
#[test]
fn an_older_record_does_not_restore_a_finished_job() {
    let (mut jobs, id) = jobs(1, &[]);
    let record = |phase, finished: bool| {
        let job = jobs.get(&id).unwrap();
        let spec = (!finished).then(|| job.spec.clone());
        let record = JobRecord {
            phase,
            spec,
            ..job.record.clone()
        };
        serde_json::to_string(&record).unwrap()
    };
    let aborting = record(Phase::Aborting, false);
    let aborted = record(Phase::Aborted, true);
    let steps = [
        (&aborting, 20, JobStage::Queued),
        (&aborted, 30, JobStage::Aborted),
        (&aborting, 20, JobStage::Aborted),
    ];
    for (text, version, expected) in steps {
        jobs.apply(&job_key(&id), Some(text), Revision(version), Millis(1));
        assert_eq!(jobs.state(&id).unwrap().stage, expected, "at {version}");
    }
}

#[test]
fn the_next_tasks_to_place_are_found_across_pages() {
    let waits = |last_attempt| Task::Waiting {
        last_attempt: Attempt(last_attempt),
    };
    let full = || vec![placed("vm-1"), Task::Done, placed("vm-2"), Task::Done];
    let part = || vec![Task::Done, waits(3), placed("vm-1"), waits(0)];
    type Case = (u32, Vec<(u32, Vec<Task>)>, Vec<u32>, Vec<(u32, u64)>);
    let cases: Vec<Case> = vec![
        // tasks, pages, tasks being placed, the next three tasks with their last attempts
        (6, vec![], vec![], vec![(0, 0), (1, 0), (2, 0)]),
        (6, vec![(0, full())], vec![], vec![(4, 0), (5, 0)]),
        (9, vec![(0, part())], vec![], vec![(1, 3), (3, 0), (4, 0)]),
        (
            9,
            vec![(0, part())],
            vec![1, 4],
            vec![(3, 0), (5, 0), (6, 0)],
        ),
        (4, vec![(0, full())], vec![], vec![]),
    ];
    for (tasks, pages, placing, expected) in cases {
        let (mut jobs, id) = jobs(tasks, &pages);
        for index in placing {
            let Task::Placed(placement) = placed("vm-3") else {
                unreachable!()
            };
            jobs.add_pending_change(&id, index, TaskChange::Place(placement));
        }
        let found = jobs.get(&id).unwrap().next_waiting(3);
        let found: Vec<(u32, u64)> = found.into_iter().map(|(i, a)| (i, a.0)).collect();
        assert_eq!(found, expected, "{tasks} tasks, {pages:?}");
    }
}

/// The usage sums that cycles read are maintained incrementally; they must equal a recount of the records
/// and the pending changes.
#[test]
fn machine_usage_follows_its_tasks() {
    let (mut jobs, id) = jobs(4, &[(0, vec![placed("vm-1"), placed("vm-1")])]);
    assert!(
        !jobs.is_occupied(&"vm-1".into()),
        "a page of the wrong length"
    );
    let page = |tasks: &[Task]| encode_page(tasks);
    let first = [
        placed("vm-1"),
        placed("vm-1"),
        Task::NEVER_PLACED,
        Task::NEVER_PLACED,
    ];
    let key = page_key(&id, 0);
    jobs.apply(&key, Some(&page(&first)), Revision(3), Millis(1));
    let gpus_per_task = jobs.get(&id).unwrap().spec.resources.gpus;
    let allocated_tasks =
        |jobs: &JobCache, machine_id: &str| jobs.allocated(&machine_id.into()).gpus / gpus_per_task;
    assert_eq!(allocated_tasks(&jobs, "vm-1"), 2.0);
    let attempt = Attempt(1);
    jobs.add_pending_change(&id, 0, TaskChange::Finish { attempt });
    assert_eq!(
        allocated_tasks(&jobs, "vm-1"),
        1.0,
        "one was seen to have left"
    );
    let tasks_in_shard = |jobs: &JobCache| {
        let team = jobs.get(&id).unwrap().spec.team.clone();
        jobs.usage_in_shard(&team, &ShardId::parse("a.0").unwrap())
            .gpus
            / gpus_per_task
    };
    assert_eq!(
        tasks_in_shard(&jobs),
        2.0,
        "but it counts until that is written"
    );
    jobs.discard_changes(&id, &[0]);
    assert_eq!(allocated_tasks(&jobs, "vm-1"), 2.0, "it was not written");
    jobs.add_pending_change(&id, 0, TaskChange::Finish { attempt });
    let second = [
        Task::Done,
        placed("vm-1"),
        placed("vm-2"),
        Task::NEVER_PLACED,
    ];
    jobs.apply(&key, Some(&page(&second)), Revision(4), Millis(2));
    jobs.discard_changes(&id, &[0]);
    assert_eq!(
        (
            allocated_tasks(&jobs, "vm-1"),
            allocated_tasks(&jobs, "vm-2")
        ),
        (1.0, 1.0)
    );
    assert_eq!(tasks_in_shard(&jobs), 2.0);
    jobs.apply(&key, None, Revision(5), Millis(3));
    assert!(!jobs.is_occupied(&"vm-1".into()) && !jobs.is_occupied(&"vm-2".into()));
}

/// Guards against tasks of a large gang that are started, or reported as running, before the whole gang is placed.
#[test]
fn a_gang_of_several_pages_runs_only_once_it_is_complete() {
    let at = |attempt| match placed("vm-1") {
        Task::Placed(placement) => Task::Placed(Placement {
            attempt: Attempt(attempt),
            ..placement
        }),
        task => task,
    };
    let left = |attempt| Task::Waiting {
        last_attempt: Attempt(attempt),
    };
    let incomplete = GangPlacement::Incomplete;
    let cases = [
        // the tasks of two pages, how far the gang is placed, tasks reported as running
        ([left(0), left(0)], GangPlacement::None, 0),
        ([left(2), left(2)], GangPlacement::None, 0),
        ([at(3), left(0)], incomplete(Attempt(3)), 0),
        ([at(3), left(2)], incomplete(Attempt(3)), 0),
        ([at(3), left(3)], GangPlacement::Broken, 4),
        ([at(3), at(3)], GangPlacement::Complete, 8),
        ([at(3), at(2)], GangPlacement::Broken, 8),
        ([at(3), Task::Done], GangPlacement::Complete, 4),
    ];
    for (tasks, placement, running) in cases {
        let (mut jobs, id) = jobs(8, &[]);
        let job = jobs.get_mut(&id).unwrap();
        (job.spec.kind, job.record.spec) = (JobKind::Gang, None);
        for (page, task) in (0..).zip(&tasks) {
            let text = encode_page(&vec![task.clone(); 4]);
            jobs.apply(&page_key(&id, page), Some(&text), Revision(2), Millis(1));
        }
        let job = jobs.get(&id).unwrap();
        assert_eq!(job.gang_placement(), placement, "{tasks:?}");
        assert_eq!(job.state().running, running, "{tasks:?}");
        assert_eq!(
            job.state().stage == JobStage::Running,
            running > 0,
            "{tasks:?}"
        );
    }
}
