use super::*;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::record::{JobRecord, encode_page, job_key, page_key};
use crate::jobs::{JobKind, JobSpec};
use crate::types::{AgentEpoch, MachineId, Millis, Revision, ShardId, WorkerToken};

/// A gang was placed on one machine with its image and fifteen without. The first task waited for the others
/// for 30 s while they fetched for a minute; its timeout ended the whole gang, and the next attempt began from
/// scratch. After a restart, a response sent before it does not prove the task gone.
#[test]
fn a_start_barrier_wait_restarts_while_other_tasks_fetch() {
    let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.tasks, spec.kind) = (2, JobKind::Gang);
    let placed = |machine_id: &str, part| {
        Task::Placed(Placement {
            machine_id: machine_id.into(),
            shard: ShardId::parse(part).unwrap(),
            agent_epoch: AgentEpoch(1),
            attempt: Attempt(3),
        })
    };
    let record = JobRecord {
        phase: Phase::Active,
        owner: "n0".into(),
        tasks: 2,
        page_size: 8,
        spec: Some(spec),
    };
    let record = serde_json::to_string(&record).unwrap();
    let (here, other) = (placed("vm-1", "a.0"), placed("vm-2", "a.1"));
    let last_attempt = Attempt(3);
    let task = TaskId {
        job: id.clone(),
        index: 0,
    };
    let cases = [
        // cause, the other task, may fetch, a command is in flight, started again, released
        (ExitCause::Alone, other.clone(), true, false, true, false),
        (ExitCause::Alone, other.clone(), true, true, false, false),
        (ExitCause::Alone, other.clone(), false, true, false, false),
        (ExitCause::Alone, other.clone(), false, false, false, true),
        (
            ExitCause::Alone,
            Task::Waiting { last_attempt },
            true,
            false,
            false,
            true,
        ),
        (ExitCause::PeersGone, other, true, true, false, true),
    ];
    for (index, (cause, mate, fetches, rides, again, released)) in cases.into_iter().enumerate() {
        let mut jobs = JobCache::default();
        jobs.apply(&job_key(&id), Some(&record), Revision(5), Millis(1));
        let page = encode_page(&[here.clone(), mate]);
        jobs.apply(&page_key(&id, 0), Some(&page), Revision(6), Millis(1));
        let (machine_id, shard) = (MachineId::from("vm-1"), ShardId::parse("a.0").unwrap());
        let (machine_type, zone) = ("g8".into(), "a".into());
        let mut machine = Machine::new(machine_id, machine_type, zone, false, shard, "n0".into());
        (machine.agent_epoch, machine.worker_token) =
            (AgentEpoch(1), WorkerToken::connected(FencingToken(4)));
        let seen = TaskObservation {
            attempt: last_attempt,
            stage: TaskStage::Exited,
            cause: Some(cause),
        };
        machine.tasks.insert(task.clone(), seen);
        if rides {
            machine
                .direct
                .piggybacked_starts
                .insert((task.clone(), last_attempt));
        }
        let outcome = reconcile(&machine, FencingToken(4), &jobs, &Stops::default(), |_| {
            fetches
        });
        let attempt = last_attempt;
        let forget = WorkerCommand::Forget {
            task: task.clone(),
            attempt,
        };
        let task = task.clone();
        let expected = if again {
            vec![forget, WorkerCommand::Start { task, attempt }]
        } else {
            vec![]
        };
        assert_eq!(outcome.commands, expected, "case {index}");
        assert_eq!(!outcome.changes.is_empty(), released, "case {index}");
    }
}

/// The records of a job with one placed task.
fn one_placed(id: &JobId, spec: JobSpec, placement: Placement) -> JobCache {
    let record = JobRecord {
        phase: Phase::Active,
        owner: "n0".into(),
        tasks: 1,
        page_size: 8,
        spec: Some(spec),
    };
    let mut jobs = JobCache::default();
    let record = serde_json::to_string(&record).unwrap();
    jobs.apply(&job_key(id), Some(&record), Revision(5), Millis(1));
    let page = encode_page(&[Task::Placed(placement)]);
    jobs.apply(&page_key(id, 0), Some(&page), Revision(6), Millis(1));
    jobs
}

/// A machine restarted at once with its counters reset, and its shard changed holders: the new holder found
/// tasks of an agent epoch that the machine had not reached yet, and waited for ever.
#[test]
fn tasks_of_another_agent_epoch_are_gone() {
    let cases = [
        // agent epoch of the placement, of the machine, whether it has answered a probe, released
        (1, 2, false, true),
        (2, 1, true, true),
        (2, 1, false, false),
        (2, 2, true, false),
    ];
    for (placed, now, proved, released) in cases {
        let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        spec.tasks = 1;
        let shard = ShardId::parse("a.0").unwrap();
        let placement = Placement {
            machine_id: "vm-1".into(),
            shard: shard.clone(),
            agent_epoch: AgentEpoch(placed),
            attempt: Attempt(1),
        };
        let jobs = one_placed(&id, spec, placement);
        let (machine_id, machine_type, zone) = ("vm-1".into(), "g8".into(), "a".into());
        let mut machine = Machine::new(machine_id, machine_type, zone, false, shard, "n0".into());
        (machine.agent_epoch, machine.worker_token) =
            (AgentEpoch(now), WorkerToken::connected(FencingToken(4)));
        if proved {
            machine.reachability.confirm();
        }
        let outcome = reconcile(&machine, FencingToken(4), &jobs, &Stops::default(), |_| {
            false
        });
        let release = |(_, _, change): &(JobId, u32, TaskChange)| {
            matches!(change, TaskChange::Release { .. })
        };
        let found = outcome.changes.iter().any(release);
        assert_eq!(found, released, "placed in {placed}, now {now}, {proved}");
    }
}

/// A task was preempted just after its start had been sent with the response to a heartbeat. A response to
/// direct commands, written before the start arrived, did not show the task; it was released, placed
/// elsewhere, and ran twice.
#[test]
fn a_start_in_flight_is_not_proved_absent() {
    let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    spec.tasks = 1;
    let shard = ShardId::parse("a.0").unwrap();
    let placement = Placement {
        machine_id: "vm-1".into(),
        shard: shard.clone(),
        agent_epoch: AgentEpoch(1),
        attempt: Attempt(1),
    };
    let jobs = one_placed(&id, spec, placement);
    let task = TaskId { job: id, index: 0 };
    let attempt = Attempt(1);
    let stops = Stops::from_iter([(
        task.clone(),
        Stop {
            attempt,
            save: false,
        },
    )]);
    type Way = fn(&mut Machine, (TaskId, Attempt));
    let cases: [(&str, Way, bool); 4] = [
        // channel of its start, released
        ("no start was sent", |_, _| {}, true),
        (
            "it left with the answer to the last report",
            |m, start| m.direct.piggybacked_starts.extend([start]),
            false,
        ),
        (
            "it was sent directly, without an answer",
            |m, start| m.direct.unacknowledged_starts.extend([start]),
            false,
        ),
        (
            "it was sent in an earlier session",
            |m, start| {
                m.direct.piggybacked_starts.extend([start]);
                m.direct.set_validity(FencingToken(4), AgentEpoch(2));
            },
            true,
        ),
    ];
    for (name, way, gone) in cases {
        let machine_id = MachineId::from("vm-1");
        let (machine_type, zone) = ("g8".into(), "a".into());
        let mut machine = Machine::new(
            machine_id,
            machine_type,
            zone,
            false,
            shard.clone(),
            "n0".into(),
        );
        (machine.agent_epoch, machine.worker_token) =
            (AgentEpoch(1), WorkerToken::connected(FencingToken(4)));
        way(&mut machine, (task.clone(), attempt));
        let outcome = reconcile(&machine, FencingToken(4), &jobs, &stops, |_| false);
        assert_eq!(!outcome.changes.is_empty(), gone, "{name}");
        // A gang waited for ever for a task whose start had been sent to a machine that received no
        // commands: the attempt is made known to the worker, and ended.
        let unacknowledged_starts = machine.direct.is_unacknowledged(&task, attempt);
        let verbs = outcome.commands.iter().map(|order| match order {
            WorkerCommand::Start { .. } => "start",
            WorkerCommand::Stop { .. } => "stop",
            WorkerCommand::Forget { .. } => "forget",
        });
        let expected: &[&str] = if unacknowledged_starts {
            &["start", "stop"]
        } else {
            &[]
        };
        assert_eq!(verbs.collect::<Vec<_>>(), expected, "{name}");
    }
}

/// A task was preempted and placed again. The stop of its first attempt was applied to the second, which was
/// released before its start; it was started after the stop had been dropped, the release was applied after
/// that, and the task ran twice.
#[test]
fn a_stop_applies_to_one_attempt_only() {
    for (stopped, released) in [(1, false), (2, true)] {
        let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        spec.tasks = 1;
        let shard = ShardId::parse("a.0").unwrap();
        let placement = Placement {
            machine_id: "vm-1".into(),
            shard: shard.clone(),
            agent_epoch: AgentEpoch(1),
            attempt: Attempt(2),
        };
        let jobs = one_placed(&id, spec, placement);
        let (machine_id, machine_type, zone) = ("vm-1".into(), "g8".into(), "a".into());
        let mut machine = Machine::new(machine_id, machine_type, zone, false, shard, "n0".into());
        (machine.agent_epoch, machine.worker_token) =
            (AgentEpoch(1), WorkerToken::connected(FencingToken(4)));
        let stop = Stop {
            attempt: Attempt(stopped),
            save: false,
        };
        let stops = Stops::from_iter([(TaskId { job: id, index: 0 }, stop)]);
        let outcome = reconcile(&machine, FencingToken(4), &jobs, &stops, |_| false);
        assert_eq!(!outcome.changes.is_empty(), released, "stop of {stopped}");
        assert_eq!(outcome.commands.is_empty(), released, "stop of {stopped}");
    }
}
