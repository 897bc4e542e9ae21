use serde_json::json;

use super::*;
use crate::controller::CommandReply;
use crate::controller::commits::tests::{controller, placed};
use crate::controller::peer_messages::PeerStatus;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::{JobKind, Placement, Task};
use crate::types::{
    AgentEpoch, Attempt, ExchangeId, FencingToken, MachineId, Revision, ShardId, WorkerToken,
};
use crate::workers::Machine;

/// A machine restarted at once and reported its new agent epoch in a reply to direct commands. Its last answered
/// heartbeat was from the previous agent epoch, so its lease was considered expired while its tasks ran, and
/// they were started elsewhere.
#[test]
fn an_agent_epoch_learned_from_a_direct_reply_has_a_full_lease() {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.kind, spec.tasks) = (JobKind::Array, 1);
    let here = Task::Placed(Placement {
        machine_id: "vm-a".into(),
        shard: ShardId::parse("a.0").unwrap(),
        agent_epoch: AgentEpoch(2),
        attempt: Attempt(1),
    });
    let (mut controller, id) = controller(spec, vec![here]);
    let lease = Millis::from_secs(controller.settings.deployment.workers.lease_s);
    let machine_id = MachineId::from("vm-a");
    let machine = controller.machines.get_mut(&machine_id).unwrap();
    machine.worker_token = WorkerToken::connected(FencingToken(5));
    machine.last_answer = Some((FencingToken(5), Millis(1_000)));
    let heartbeat = json!({"host": "vm-a", "address": "", "rig": "g8", "yard": "a",
        "loaners": false, "shift": 2, "tally": 9, "baton": WorkerToken::connected(FencingToken(5)),
        "picks": [{"pick": format!("{id}/0"), "try": 1, "stage": "running"}]});
    controller.now = lease;
    let heartbeat = Some(serde_json::from_value(heartbeat).unwrap());
    controller.on_direct_reply(&machine_id, ExchangeId(0), Some(CommandReply { heartbeat }));
    let released = |c: &Controller| !c.jobs.get(&id).unwrap().pending_changes.is_empty();
    for (after_s, expired) in [(5.0, false), (40.0, true)] {
        controller.now = lease + Millis::from_secs(after_s);
        controller.sweep_machines();
        assert_eq!(released(&controller), expired, "{after_s} s after");
    }
}

/// A new holder's response to a heartbeat was lost, so the previous holder kept renewing the worker's lease
/// until the new token was announced directly. Then the worker fell silent. Its lease was considered expired
/// counting from the lost response, while its tasks ran for another ten seconds.
#[test]
fn silence_counts_from_the_workers_acknowledgement_of_the_holders_token() {
    type AnsweredAt = Option<u64>;
    let cases: [(AnsweredAt, u64, AnsweredAt, f64, bool); 5] = [
        // time in seconds of an answered heartbeat, of the acknowledgement of the controller's token and of the
        // next answered heartbeat; seconds after the acknowledgement; whether the lease has expired
        (Some(1), 16, None, 20.0, false),
        (Some(1), 16, None, 40.0, true),
        (Some(15), 16, Some(30), 36.0, false),
        (Some(15), 16, Some(30), 60.0, true),
        (None, 16, None, 40.0, true),
    ];
    for (before, acknowledged, after, then_s, expired) in cases {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks) = (JobKind::Array, 1);
        let here = Task::Placed(Placement {
            machine_id: "vm-2".into(),
            shard: ShardId::parse("a.0").unwrap(),
            agent_epoch: AgentEpoch(1),
            attempt: Attempt(1),
        });
        let (mut controller, id) = controller(spec, vec![here]);
        let lease_s = controller.settings.deployment.workers.lease_s;
        assert!(
            (21.0..27.0).contains(&lease_s),
            "the cases are for {lease_s}"
        );
        let (machine_id, machine_type, zone) = (MachineId::from("vm-2"), "g8".into(), "a".into());
        let shard = ShardId::parse("a.0").unwrap();
        let machine = Machine::new(
            machine_id.clone(),
            machine_type,
            zone,
            false,
            shard,
            "n0".into(),
        );
        controller.machines.insert(machine_id.clone(), machine);
        let heartbeat = |heartbeat_sequence: u64, seen_token: FencingToken| {
            let heartbeat = json!({"host": "vm-2", "address": "10.0.0.9:1", "rig": "g8", "yard": "a",
                "loaners": false, "shift": 1, "tally": heartbeat_sequence, "baton": WorkerToken::connected(seen_token),
                "picks": [{"pick": format!("{id}/0"), "try": 1, "stage": "running"}]});
            serde_json::from_value::<Heartbeat>(heartbeat).unwrap()
        };
        if let Some(before) = before {
            controller.now = Millis(before * 1_000);
            controller.answer_heartbeat(heartbeat(1, FencingToken(4)));
        }
        controller.now = Millis(acknowledged * 1_000);
        let reply = CommandReply {
            heartbeat: Some(heartbeat(2, FencingToken(5))),
        };
        controller.on_direct_reply(&machine_id, ExchangeId(0), Some(reply));
        if let Some(after) = after {
            controller.now = Millis(after * 1_000);
            controller.answer_heartbeat(heartbeat(3, FencingToken(5)));
        }
        controller.now = Millis(acknowledged * 1_000) + Millis::from_secs(then_s);
        controller.sweep_machines();
        let released = !controller.jobs.get(&id).unwrap().pending_changes.is_empty();
        assert_eq!(
            released, expired,
            "{before:?}, {acknowledged}, {after:?}, {then_s} s later"
        );
    }
}

/// A late copy of a heartbeat arrived after its machine was deleted. The machine was considered alive, and
/// tasks were placed there whose end was never observed.
#[test]
fn a_machine_first_seen_by_heartbeat_gets_tasks_after_a_direct_reply() {
    let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
    let (mut controller, _) = controller(spec, vec![Task::NEVER_PLACED]);
    controller.now = Millis(20_000);
    let heartbeat = |heartbeat_sequence| {
        let heartbeat = json!({"host": "vm-2", "address": "10.0.0.9:1", "rig": "g8", "yard": "a",
            "loaners": false, "shift": 1, "tally": heartbeat_sequence, "baton": WorkerToken::connected(FencingToken(5)),
            "picks": []});
        serde_json::from_value::<Heartbeat>(heartbeat).unwrap()
    };
    let machine_id = MachineId::from("vm-2");
    let takes_tasks = |c: &Controller| c.is_schedulable_locally(&c.machines[&machine_id]);
    for heartbeat_sequence in [4, 5] {
        controller.effects.clear();
        controller.answer_heartbeat(heartbeat(heartbeat_sequence));
        assert!(
            !takes_tasks(&controller),
            "after heartbeat {heartbeat_sequence}"
        );
    }
    let probed = |c: &Controller| c.machines[&machine_id].direct.is_in_flight();
    assert!(probed(&controller), "the machine is probed");
    let reply = CommandReply {
        heartbeat: Some(heartbeat(6)),
    };
    controller.on_direct_reply(&machine_id, ExchangeId(0), Some(reply));
    assert!(takes_tasks(&controller), "the machine replied");
}

/// While no worker reached any controller, each controller released its shards, acquired others, received no
/// heartbeats there and released them again, every few seconds.
#[test]
fn shards_keep_their_holders_while_no_controller_receives_heartbeats() {
    let cases = [
        // whether the peer receives heartbeats (`None`: no status); earlier releases in a row; ms from the release
        // to the next inspection (`None`: not released)
        (None, 0, Some(2_000)),
        (Some(false), 0, None),
        (Some(true), 0, Some(2_000)),
        (Some(true), 1, Some(12_000)),
        (Some(true), 2, Some(22_000)),
        (Some(true), 9, Some(82_000)),
    ];
    for (peer_receives_heartbeats, earlier_releases, expected) in cases {
        let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
        let (mut controller, _) = controller(spec, vec![Task::NEVER_PLACED]);
        controller.now = Millis(100_000);
        (
            controller.contact.receives_heartbeats,
            controller.contact.shard_release_streak,
        ) = (true, earlier_releases);
        controller.contact.last_heartbeat =
            controller.now - Millis(controller.heartbeat_timeout().0 + 2_001);
        for machine in controller.machines.values_mut() {
            machine.last_answer = Some((FencingToken(5), Millis(1)));
            (machine.last_contact, machine.address) =
                (controller.contact.last_heartbeat, "10.0.0.9:1".parse().ok());
        }
        controller.membership.shard_moved_at.clear();
        for member in controller.settings.members.clone() {
            let status = peer_receives_heartbeats.map(|receives_heartbeats| PeerStatus {
                received_at: controller.now,
                revision: Revision(1),
                without_store: Millis(0),
                receives_heartbeats,
            });
            controller
                .peers
                .statuses
                .extend(status.map(|status| (member.label, status)));
        }
        controller.check_worker_contact();
        let case = format!("{peer_receives_heartbeats:?}, {earlier_releases}");
        assert_eq!(
            controller.contact.receives_heartbeats,
            expected.is_none(),
            "{case}"
        );
        let Some(expected) = expected else { continue };
        let from = controller.now;
        for (after, inspects) in [(expected - 1, false), (expected, true)] {
            controller.effects.clear();
            controller.now = from + Millis(after);
            controller.check_worker_contact();
            let inspected = |effect: &Effect| matches!(effect, Effect::Inspect { .. });
            assert_eq!(
                controller.effects.iter().any(inspected),
                inspects,
                "{case}, {after}"
            );
        }
    }
}

/// A machine that reports these attempts of a job's only task, with the task placed on it in attempt 2 or on another
/// machine.
fn report_attempts(placed_on: &str, warning_s: Option<f64>, picks: &[(u64, &str)]) -> Controller {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.kind, spec.tasks) = (JobKind::Array, 1);
    let (mut controller, id) = controller(spec, vec![placed(placed_on, "a.0", 2)]);
    controller.now = Millis(20_000);
    controller.store_sync.applied = Revision(9);
    let picks: Vec<_> = picks
        .iter()
        .map(|(attempt, stage)| {
            json!({"pick": format!("{id}/0"), "try": attempt, "stage": stage, "cause": "stopped"})
        })
        .collect();
    for heartbeat_sequence in [1, 2] {
        let heartbeat = json!({"host": "vm-2", "address": "10.0.0.9:1", "rig": "g8", "yard": "a",
            "loaners": true, "shift": 1, "tally": heartbeat_sequence,
            "baton": WorkerToken::connected(FencingToken(5)), "warningS": warning_s,
            "picks": picks});
        controller.answer_heartbeat(serde_json::from_value(heartbeat).unwrap());
    }
    controller
}

/// Guards against tasks that are sent to a machine for an image that it has evicted: an exited attempt that stays
/// listed, since the reply to its start was late, counted as a use of its image in each heartbeat.
#[test]
fn an_exited_attempt_that_stays_listed_does_not_use_its_image() {
    let cases = [
        ("vm-2", &[(1, "ended")][..], false),
        ("vm-2", &[(1, "ended"), (2, "running")][..], true),
        ("vm-2", &[(2, "running"), (1, "ended")][..], true),
        ("vm-2", &[(2, "ended")][..], true),
        ("vm-1", &[(2, "ended")][..], false),
        ("vm-1", &[(1, "running")][..], true),
    ];
    for (placed_on, picks, used) in cases {
        let controller = report_attempts(placed_on, None, picks);
        let images = &controller.machines[&MachineId::from("vm-2")].images;
        assert_eq!(!images.is_empty(), used, "placed on {placed_on}: {picks:?}");
    }
}

/// Guards against a needless stop: a machine under notice listed an outdated attempt of a task that ran on another
/// machine, and the task was stopped there.
#[test]
fn a_termination_notice_stops_only_tasks_that_are_placed_on_the_machine() {
    let cases = [
        ("vm-2", &[(2, "running")][..], true),
        ("vm-2", &[(2, "running"), (1, "ended")][..], true),
        ("vm-2", &[(1, "running")][..], false),
        ("vm-1", &[(1, "running")][..], false),
    ];
    for (placed_on, picks, stopped) in cases {
        let controller = report_attempts(placed_on, Some(30.0), picks);
        let stops = &controller.scheduler.stops;
        assert_eq!(
            !stops.is_empty(),
            stopped,
            "placed on {placed_on}: {picks:?}"
        );
    }
}
