use super::*;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::record::{JobRecord, encode_page, job_key, page_key};
use crate::jobs::{JobKind, JobSpec, Phase};
use crate::types::{AgentEpoch, ExchangeId, FencingToken, Millis, Revision, ShardId, WorkerToken};
use crate::workers::ReportedAttempts;
use crate::workers::direct_channel::{ExchangeOutcome, ExchangeStart};

/// Guards against a gang that never starts: it was placed on one machine with its image cached and fifteen
/// without. The first task timed out at the start barrier after 30 s while the others fetched for a minute;
/// its timeout released the whole gang, and the next attempt began from scratch. A response written before
/// the restart must not count as proof that the task is gone.
#[test]
fn a_gang_timeout_restarts_while_other_tasks_fetch() {
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
        // cause, the other task, may be fetching, a start is in flight, restarted, released
        (
            ExitCause::GangTimeout,
            other.clone(),
            true,
            false,
            true,
            false,
        ),
        (
            ExitCause::GangTimeout,
            other.clone(),
            true,
            true,
            false,
            false,
        ),
        (
            ExitCause::GangTimeout,
            other.clone(),
            false,
            true,
            false,
            false,
        ),
        (
            ExitCause::GangTimeout,
            other.clone(),
            false,
            false,
            false,
            true,
        ),
        (
            ExitCause::GangTimeout,
            Task::Waiting { last_attempt },
            true,
            false,
            false,
            true,
        ),
        (ExitCause::GangMemberLost, other, true, true, false, true),
    ];
    for (index, (cause, other_task, gang_may_be_fetching, start_in_flight, restarted, released)) in
        cases.into_iter().enumerate()
    {
        let mut jobs = JobCache::default();
        jobs.apply(&job_key(&id), Some(&record), Revision(5), Millis(1));
        let page = encode_page(&[here.clone(), other_task]);
        jobs.apply(&page_key(&id, 0), Some(&page), Revision(6), Millis(1));
        let mut machine = machine_under_token();
        machine.reported = ReportedAttempts::from_iter([ReportedAttempt {
            task: task.clone(),
            attempt: last_attempt,
            stage: TaskStage::Exited,
            cause: Some(cause),
        }]);
        if start_in_flight {
            machine
                .direct
                .piggybacked
                .starts
                .insert((task.clone(), last_attempt));
        }
        let outcome = reconcile(
            &machine,
            tenure(),
            &jobs,
            &RequestedStops::default(),
            |_| gang_may_be_fetching,
            |_| false,
        );
        let attempt = last_attempt;
        let forget = WorkerCommand::Forget {
            task: task.clone(),
            attempt,
        };
        let task = task.clone();
        let expected = if restarted {
            vec![forget, WorkerCommand::Start { task, attempt }]
        } else {
            vec![]
        };
        assert_eq!(outcome.commands, expected, "case {index}");
        assert_eq!(!outcome.changes.is_empty(), released, "case {index}");
    }
}

/// Machine vm-1 in shard a.0, whose worker has seen token 4.
fn machine_under_token() -> Machine {
    let (machine_id, machine_type, zone) = ("vm-1".into(), "g8".into(), "a".into());
    let shard = ShardId::parse("a.0").unwrap();
    let mut machine = Machine::new(machine_id, machine_type, zone, false, shard, "n0".into());
    machine.agent_epoch = AgentEpoch(1);
    machine.worker_token = WorkerToken::connected(FencingToken(4));
    machine
}

/// The tenure of a holder that acquired the shard under token 4.
fn tenure() -> Tenure {
    Tenure::new(FencingToken(4))
}

/// Sends a start to the worker directly under the token that it has seen.
fn send_directly(machine: &mut Machine, start: (TaskId, Attempt), outcome: ExchangeOutcome) {
    let (task, attempt) = start;
    let exchange = ExchangeStart {
        exchange: ExchangeId(1),
        worker_token: machine.worker_token,
        agent_epoch: machine.agent_epoch,
        heartbeat_sequence: machine.heartbeat_sequence,
    };
    let commands = [WorkerCommand::Start { task, attempt }];
    machine.direct.begin(exchange, &commands);
    machine.direct.end(ExchangeId(1), outcome);
}

/// A placement on vm-1.
fn placement(agent_epoch: u64, attempt: u64) -> Placement {
    Placement {
        machine_id: "vm-1".into(),
        shard: ShardId::parse("a.0").unwrap(),
        agent_epoch: AgentEpoch(agent_epoch),
        attempt: Attempt(attempt),
    }
}

/// The records of a job whose only task has this placement.
fn jobs_with_one_placement(id: &JobId, spec: JobSpec, placement: Placement) -> JobCache {
    jobs_in_phase(id, spec, placement, Phase::Active)
}

/// The records of a job in this phase whose only task has this placement.
fn jobs_in_phase(id: &JobId, spec: JobSpec, placement: Placement, phase: Phase) -> JobCache {
    let record = JobRecord {
        phase,
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

/// Guards against tasks that are never released: a machine restarted at once with its counters reset, and its
/// shard changed holders. The new holder found placements in an agent epoch that the machine had not reached.
#[test]
fn tasks_of_another_agent_epoch_are_released() {
    let cases = [
        // agent epoch of the placement, of the machine, whether it has answered a probe, released
        (1, 2, false, true),
        (2, 1, true, true),
        (2, 1, false, false),
        (2, 2, true, false),
    ];
    for (placed_epoch, current_epoch, confirmed, released) in cases {
        let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        spec.tasks = 1;
        let jobs = jobs_with_one_placement(&id, spec, placement(placed_epoch, 1));
        let mut machine = machine_under_token();
        machine.agent_epoch = AgentEpoch(current_epoch);
        if confirmed {
            machine.reachability.confirm();
        }
        let outcome = reconcile(
            &machine,
            tenure(),
            &jobs,
            &RequestedStops::default(),
            |_| false,
            |_| false,
        );
        let is_release = |(_, _, change): &(JobId, u32, TaskChange)| {
            matches!(change, TaskChange::Release { .. })
        };
        let found = outcome.changes.iter().any(is_release);
        assert_eq!(
            found, released,
            "placed in epoch {placed_epoch}, now in {current_epoch}, confirmed: {confirmed}"
        );
    }
}

/// Guards against a task that runs twice: it was preempted just after its start had been sent with the answer
/// to a heartbeat. A response to direct commands, written before the start arrived, did not show the task, so
/// it was released and placed elsewhere.
#[test]
fn a_start_in_flight_is_not_proved_absent() {
    let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    spec.tasks = 1;
    let jobs = jobs_with_one_placement(&id, spec, placement(1, 1));
    let task = TaskId { job: id, index: 0 };
    let attempt = Attempt(1);
    let stops = RequestedStops::from_iter([(
        task.clone(),
        Stop {
            attempt,
            save: false,
        },
    )]);
    type SendStart = fn(&mut Machine, (TaskId, Attempt));
    let cases: [(&str, SendStart, bool); 6] = [
        // how the start was sent, released
        ("no start was sent", |_, _| {}, true),
        (
            "the start was sent with the answer to the last heartbeat",
            |m, start| m.direct.piggybacked.starts.extend([start]),
            false,
        ),
        (
            "the start was sent directly, without a response",
            |m, start| send_directly(m, start, ExchangeOutcome::Unanswered),
            false,
        ),
        (
            "the start was sent directly and answered",
            |m, start| {
                let answered = ExchangeOutcome::Answered(m.agent_epoch, m.heartbeat_sequence + 1);
                send_directly(m, start, answered);
            },
            false,
        ),
        (
            "the start was sent directly under a lower token than the worker has seen",
            |m, start| {
                send_directly(m, start, ExchangeOutcome::Unanswered);
                let raised = WorkerToken::connected(FencingToken(5));
                let reported = ReportedAttempts::default();
                m.direct.observe(raised, m.agent_epoch, &reported);
            },
            true,
        ),
        (
            "the start was sent in an earlier agent epoch",
            |m, start| {
                m.direct.piggybacked.starts.extend([start]);
                let reported = ReportedAttempts::default();
                m.direct.observe(m.worker_token, AgentEpoch(2), &reported);
            },
            true,
        ),
    ];
    for (name, send_start, released) in cases {
        let mut machine = machine_under_token();
        send_start(&mut machine, (task.clone(), attempt));
        let outcome = reconcile(&machine, tenure(), &jobs, &stops, |_| false, |_| false);
        assert_eq!(!outcome.changes.is_empty(), released, "{name}");
        // Guards against a gang that waits forever for a task whose start was sent to a machine that
        // received no commands: the attempt is made known to the worker, and stopped.
        let unfenced = machine.direct.is_unfenced(&task, attempt);
        let verbs = outcome.commands.iter().map(|command| match command {
            WorkerCommand::Start { .. } => "start",
            WorkerCommand::Stop { .. } => "stop",
            WorkerCommand::Forget { .. } => "forget",
        });
        let expected: &[&str] = if unfenced { &["start", "stop"] } else { &[] };
        assert_eq!(verbs.collect::<Vec<_>>(), expected, "{name}");
    }
}

/// Guards against a task that runs twice: it was preempted and placed again, and the stop of its first attempt
/// was applied to the second, which was released before its start. The second attempt was started once the
/// stop had been dropped, and the release was applied after that.
#[test]
fn a_stop_applies_to_one_attempt_only() {
    for (stopped, released) in [(1, false), (2, true)] {
        let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        spec.tasks = 1;
        let jobs = jobs_with_one_placement(&id, spec, placement(1, 2));
        let machine = machine_under_token();
        let stop = Stop {
            attempt: Attempt(stopped),
            save: false,
        };
        let stops = RequestedStops::from_iter([(TaskId { job: id, index: 0 }, stop)]);
        let outcome = reconcile(&machine, tenure(), &jobs, &stops, |_| false, |_| false);
        assert_eq!(!outcome.changes.is_empty(), released, "stop of {stopped}");
        assert_eq!(outcome.commands.is_empty(), released, "stop of {stopped}");
    }
}

/// A worker under token 4 that reported these attempts, in this order, with the job's only task placed here
/// in attempt 2. Attempt 1 was started directly without a response, so the worker still knows it.
fn after_two_attempts(id: &JobId, phase: Phase, listed: &[&str]) -> (Machine, JobCache) {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    spec.tasks = 1;
    let jobs = jobs_in_phase(id, spec, placement(1, 2), phase);
    let mut machine = machine_under_token();
    let heartbeat = format!(
        r#"{{"host":"vm-1","rig":"g8","yard":"a","loaners":false,"shift":1,"tally":8,"baton":8,
        "picks":[{}]}}"#,
        listed.join(",")
    );
    let heartbeat = serde_json::from_str(&heartbeat).unwrap();
    machine.apply_heartbeat(&heartbeat, Millis(1), &"n0".into());
    let task = TaskId {
        job: id.clone(),
        index: 0,
    };
    send_directly(
        &mut machine,
        (task, Attempt(1)),
        ExchangeOutcome::Unanswered,
    );
    (machine, jobs)
}

/// Guards against `ran_cancelled`: the answer to a direct start was late, so its attempt was not forgotten
/// when it had exited. The worker listed it after the attempt that ran, which was taken for absent and
/// released: it ran on after its job was cancelled, and was never killed.
#[test]
fn each_listed_attempt_of_a_task_counts_in_any_order() {
    let id = JobId::from("job-000412");
    let status =
        |attempt: u64, state: &str| format!(r#"{{"pick":"job-000412/0","try":{attempt},{state}}}"#);
    let running = r#""stage":"running""#;
    let stopped = r#""stage":"ended","cause":"stopped""#;
    let refused = r#""stage":"ended","cause":"in_use""#;
    let done = r#""stage":"ended","cause":"done""#;
    let cases = [
        // job, states of attempts 1 and 2, attempts that are killed, whether the task leaves its machine
        (Phase::Active, stopped, running, &[][..], false),
        (Phase::Aborting, stopped, running, &[2][..], false),
        (Phase::Aborting, stopped, stopped, &[], true),
        (Phase::Active, stopped, done, &[], true),
        (Phase::Active, running, refused, &[1], false),
        (Phase::Aborting, running, refused, &[1], false),
        (Phase::Aborting, running, stopped, &[1], false),
    ];
    for (phase, first, second, killed, leaves) in cases {
        let (first, second) = (status(1, first), status(2, second));
        for listed in [[&*first, &*second], [&*second, &*first]] {
            let (machine, jobs) = after_two_attempts(&id, phase, &listed);
            let stops = RequestedStops::default();
            let outcome = reconcile(&machine, tenure(), &jobs, &stops, |_| false, |_| false);
            let expected: Vec<WorkerCommand> = killed
                .iter()
                .map(|attempt| WorkerCommand::Stop {
                    task: TaskId {
                        job: id.clone(),
                        index: 0,
                    },
                    attempt: Attempt(*attempt),
                    grace_s: 0.0,
                })
                .collect();
            assert_eq!(outcome.commands, expected, "{phase:?} {listed:?}");
            assert_eq!(!outcome.changes.is_empty(), leaves, "{phase:?} {listed:?}");
        }
    }
}

/// Guards against a task that runs twice: an attempt that is absent was released although another attempt of
/// the task was on the machine.
#[test]
fn an_absent_attempt_is_not_released_beside_a_live_one() {
    let id = JobId::from("job-000412");
    for (state, released) in [
        (r#""stage":"running""#, false),
        (r#""stage":"saving""#, false),
        (r#""stage":"pulling""#, false),
        (r#""stage":"ended","cause":"stopped""#, true),
    ] {
        let status = format!(r#"{{"pick":"job-000412/0","try":1,{state}}}"#);
        let (machine, jobs) = after_two_attempts(&id, Phase::Aborting, &[&status]);
        let stops = RequestedStops::default();
        let outcome = reconcile(&machine, tenure(), &jobs, &stops, |_| false, |_| false);
        assert_eq!(!outcome.changes.is_empty(), released, "attempt 1: {state}");
    }
}

/// Guards against `ran_twice` and `ran_cancelled`: a copy of an answered start ran a forgotten attempt again.
#[test]
fn an_attempt_is_forgotten_only_when_copies_of_its_start_are_refused() {
    let causes = [
        "done",
        "stopped",
        "mates_gone",
        "alone",
        "error",
        "no_room",
        "in_use",
        "no_such",
    ];
    let jobs = JobCache::default();
    let start = (TaskId::parse("job-000412/0").unwrap(), Attempt(1));
    let cases = [
        // whether the start was sent directly, token and agent epoch of the next heartbeat, forgotten
        (true, 4, 1, false),
        (true, 5, 1, true),
        (true, 4, 2, true),
        (false, 4, 1, true),
    ];
    for cause in causes {
        for (sent_directly, token, agent_epoch, forgotten) in cases {
            let mut machine = machine_under_token();
            if sent_directly {
                let answered = ExchangeOutcome::Answered(AgentEpoch(1), 1);
                send_directly(&mut machine, start.clone(), answered);
            }
            let worker_token = WorkerToken::connected(FencingToken(token)).0;
            let heartbeat = format!(
                r#"{{"host":"vm-1","rig":"g8","yard":"a","loaners":false,"shift":{agent_epoch},"tally":8,
                "baton":{worker_token},
                "picks":[{{"pick":"job-000412/0","try":1,"stage":"ended","cause":"{cause}"}}]}}"#
            );
            let heartbeat = serde_json::from_str(&heartbeat).unwrap();
            machine.apply_heartbeat(&heartbeat, Millis(1), &"n0".into());
            let tenure = Tenure {
                acquired: FencingToken(4),
                token: FencingToken(5),
            };
            let stops = RequestedStops::default();
            let outcome = reconcile(&machine, tenure, &jobs, &stops, |_| false, |_| false);
            let (task, attempt) = start.clone();
            let expected = forgotten.then_some(WorkerCommand::Forget { task, attempt });
            let case = format!(
                "{cause}, sent directly: {sent_directly}, then token {token} in agent epoch {agent_epoch}"
            );
            assert_eq!(outcome.commands, Vec::from_iter(expected), "{case}");
        }
    }
}

/// Guards against tasks of a gang that are released, or started alone, while the rest of the gang is still being placed
/// by further transactions.
#[test]
fn tasks_of_an_incomplete_gang_wait_for_the_others() {
    let (id, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.kind, spec.tasks) = (JobKind::Gang, 2);
    let attempt = Attempt(2);
    let placement = Placement {
        machine_id: "vm-1".into(),
        shard: ShardId::parse("a.0").unwrap(),
        agent_epoch: AgentEpoch(1),
        attempt,
    };
    let left = |attempt| Task::Waiting {
        last_attempt: Attempt(attempt),
    };
    let cases = [
        // the other task, whether the rest is being placed, whether the task is stopped, started, released
        (left(0), true, false, false, false),
        (left(1), true, false, false, false),
        (left(1), true, true, false, true),
        (left(1), false, false, false, true),
        (left(2), true, false, false, true),
        (Task::Placed(placement.clone()), true, false, true, false),
    ];
    for (other, being_placed, stopped, started, released) in cases {
        let case = format!("{other:?}, being placed: {being_placed}, stopped: {stopped}");
        let record = JobRecord {
            phase: Phase::Active,
            owner: "n0".into(),
            tasks: 2,
            page_size: 1,
            spec: Some(spec.clone()),
        };
        let mut jobs = JobCache::default();
        let record = serde_json::to_string(&record).unwrap();
        jobs.apply(&job_key(&id), Some(&record), Revision(1), Millis(1));
        let tasks = [Task::Placed(placement.clone()), other];
        for (page, task) in (0..).zip(tasks) {
            let text = encode_page(&[task]);
            jobs.apply(&page_key(&id, page), Some(&text), Revision(2), Millis(1));
        }
        let task = TaskId {
            job: id.clone(),
            index: 0,
        };
        let stop = Stop {
            attempt,
            save: false,
        };
        let stops = stopped.then(|| (task.clone(), stop)).into_iter().collect();
        let tenure = Tenure::new(FencingToken(3));
        let mut machine = Machine::new(
            "vm-1".into(),
            "g8".into(),
            "a".into(),
            false,
            placement.shard.clone(),
            "n0".into(),
        );
        machine.agent_epoch = AgentEpoch(1);
        machine.worker_token = WorkerToken::connected(FencingToken(3));
        let outcome = reconcile(&machine, tenure, &jobs, &stops, |_| false, |_| being_placed);
        let start = WorkerCommand::Start {
            task: task.clone(),
            attempt,
        };
        assert_eq!(outcome.commands.contains(&start), started, "{case}");
        let of_task = |(_, index, _): &&(JobId, u32, TaskChange)| *index == 0;
        let change = outcome.changes.iter().find(of_task);
        assert_eq!(change.is_some(), released, "{case}");
    }
}
