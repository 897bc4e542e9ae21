use super::*;
use crate::controller::Effect;
use crate::controller::commits::tests::{controller, placed};
use crate::jobs::api::{parse, tests::body};
use crate::jobs::cache::TaskChange;
use crate::jobs::record::job_key;
use crate::jobs::{JobKind, Task};
use crate::peers::{MachineCondition, Message, Status};
use crate::types::{AgentEpoch, FencingToken, MachineId, Revision, WorkerToken};

/// A message between controllers takes a millisecond, and the watch takes up to its poll interval.
/// A job that was forwarded at once was therefore unknown to the leader, and waited a second.
#[test]
fn a_job_that_is_forwarded_before_its_record_arrives_is_queued_on_arrival() {
    for (known_after, queued) in [(100, true), (60_000, false)] {
        let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
        let (mut controller, known) = controller(spec, vec![Task::NEVER_PLACED; 8]);
        controller.apply(
            "jt/lead",
            Some(r#"{"leader":"n0","permit":1}"#),
            Revision(8),
        );
        let record = serde_json::to_string(&controller.jobs.get(&known).unwrap().record);
        let job = "job-9".to_string();
        let id = JobId::from(job.clone());
        controller.on_peer_message("n1".into(), Message::Unplaced { job });
        assert!(!controller.scheduler.queue.contains(&id));
        controller.now = Millis(known_after);
        controller.sweep_machines();
        let record = record.unwrap().replace("\"n0\"", "\"n1\"");
        // Its owner is alive, so only the forwarding makes this controller responsible.
        let node = r#"{"permit":2,"zone":"a","hears":true}"#;
        controller.apply("jt/node/n1", Some(node), Revision(9));
        controller.apply(&job_key(&id), Some(&record), Revision(10));
        assert_eq!(
            controller.scheduler.queue.contains(&id),
            queued,
            "after {known_after}"
        );
    }
}

/// A controller reacquired a shard with a machine that had begun a new agent epoch under another
/// holder. The machine's heartbeat sequence was compared with that of the agent epoch known to the
/// controller, so its heartbeats were discarded as old for minutes, and it was declared silent.
#[test]
fn heartbeat_sequences_count_within_an_agent_epoch() {
    let cases = [
        // agent epoch reported by the other holder, agent epoch and sequence of the heartbeat,
        // whether the heartbeat is newer
        (1, 1, 50, false),
        (1, 1, 51, true),
        (2, 2, 5, true),
        (3, 2, 900, false),
    ];
    for (reported_epoch, agent_epoch, heartbeat_sequence, newer) in cases {
        let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
        let (mut controller, _) = controller(spec, vec![Task::NEVER_PLACED; 8]);
        let machine_id = MachineId::from("vm-a");
        let machine = controller.machines.get_mut(&machine_id).unwrap();
        (machine.agent_epoch, machine.heartbeat_sequence) = (AgentEpoch(1), 50);
        let held = r#"{"holder":"n1","permit":2}"#;
        controller.apply("jt/block/a.0", Some(held), Revision(20));
        let heartbeat = MachineCondition {
            machine_id: machine_id.to_string(),
            since_contact_ms: 0,
            agent_epoch: reported_epoch,
            unconfirmed: false,
            termination_announced: false,
            quarantined: false,
            draining: false,
        };
        let status = Status {
            machines: vec![heartbeat],
            ..Status::default()
        };
        controller.on_peer_message("n1".into(), Message::Status(status));
        let machine = &controller.machines[&machine_id];
        assert_eq!(machine.agent_epoch, AgentEpoch(reported_epoch));
        let is_newer = machine.is_newer(AgentEpoch(agent_epoch), heartbeat_sequence);
        assert_eq!(
            is_newer, newer,
            "reported epoch {reported_epoch}, heartbeat {agent_epoch} {heartbeat_sequence}"
        );
    }
}

/// A holder kept placing tasks on a machine that the leader had just deleted, until the machine had
/// missed several heartbeats.
#[test]
fn holders_learn_which_machines_are_being_deleted() {
    type Step = fn(&mut Controller);
    let cases: [(&str, Step, bool, bool); 5] = [
        // state of the machine, whether the sender is the leader, whether the holder is notified
        ("nothing", |_| {}, true, false),
        (
            "emptied",
            |c| {
                c.autoscaler.drains.insert("vm-a".into());
            },
            true,
            true,
        ),
        (
            "being deleted",
            |c| {
                c.autoscaler.fleet.deleting.insert("vm-a".into());
            },
            true,
            true,
        ),
        (
            "deleted",
            |c| {
                c.autoscaler.fleet.deleted.insert("vm-a".into());
            },
            true,
            true,
        ),
        (
            "deleted",
            |c| {
                c.autoscaler.fleet.deleted.insert("vm-a".into());
            },
            false,
            false,
        ),
    ];
    for (name, step, is_leader, notified) in cases {
        let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
        let (mut leader, _) = controller(spec.clone(), vec![Task::NEVER_PLACED; 8]);
        if is_leader {
            leader.apply(
                "jt/lead",
                Some(r#"{"leader":"n0","permit":1}"#),
                Revision(8),
            );
        }
        step(&mut leader);
        leader.effects.clear();
        leader.now = Millis(5_000);
        leader.broadcast_status();
        let mut sent = leader.effects.into_iter();
        let status = sent.find_map(|effect| match effect {
            Effect::Peer {
                message: Message::Status(status),
                ..
            } => Some(status),
            _ => None,
        });
        let (mut holder, _) = controller(spec, vec![Task::NEVER_PLACED; 8]);
        holder.apply(
            "jt/lead",
            Some(r#"{"leader":"n1","permit":2}"#),
            Revision(8),
        );
        let mut status = status.expect("a status message");
        status.shards.clear();
        holder.on_peer_message("n1".into(), Message::Status(status));
        assert_eq!(
            holder.autoscaler.drains.contains(&MachineId::from("vm-a")),
            notified,
            "{name}, {is_leader}"
        );
    }
}

/// Guards against a gang of many pages that is never placed: a transaction with some of its pages failed, and the rest
/// was neither placed in the same attempt nor were the placed tasks released.
#[test]
fn the_rest_of_a_gang_is_placed_in_the_same_attempt_or_not_at_all() {
    let left = |attempt| Task::Waiting {
        last_attempt: Attempt(attempt),
    };
    let cases = [
        // first task, ms since it was placed, attempt and zone in which the second task is placed
        (left(4), 2_000, Some((5, "b"))),
        (placed("vm-a", "a.0", 5), 500, None),
        (placed("vm-a", "a.0", 5), 2_000, Some((5, "a"))),
        (placed("vm-a", "a.0", 5), 16_000, None),
        // The second task has left the attempt of the first.
        (placed("vm-a", "a.0", 4), 2_000, None),
    ];
    for (first, after_ms, expected) in cases {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks, spec.one_zone) = (JobKind::Gang, 2, true);
        let case = format!("{first:?} after {after_ms} ms");
        let (mut controller, id) = controller(spec, vec![first, left(4)]);
        controller.now = Millis(after_ms);
        for machine in controller.machines.values_mut() {
            machine.last_contact = Millis(after_ms);
            machine.last_answer = Some((FencingToken(5), Millis(after_ms)));
            machine.reachability.confirm();
            machine.worker_token = WorkerToken::connected(FencingToken(5));
        }
        let popped = PoppedJob {
            id: id.clone(),
            failures: 1,
        };
        controller.run_cycle(&popped);
        // A placement that is in flight still counts as pending.
        let job = controller.jobs.get(&id).unwrap();
        let second = job.pending_changes.get(&1).map(|change| match change {
            TaskChange::Place(placement) => (placement.attempt.0, placement.shard.zone.as_str()),
            other => panic!("{case}: {other:?}"),
        });
        assert_eq!(second, expected, "{case}");
    }
}
