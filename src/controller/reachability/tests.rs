use serde_json::json;

use crate::controller::commits::tests::{controller, placed};
use crate::controller::{CommandReply, Controller, Effect};
use crate::jobs::api::{parse, tests::body};
use crate::jobs::record::{JobRecord, job_key};
use crate::jobs::{JobKind, Phase};
use crate::types::{
    ExchangeId, FencingToken, JobId, MachineId, Millis, Revision, ShardId, WorkerToken,
};
use crate::workers::Machine;
use crate::workers::wire::{Heartbeat, WorkerCommand};

const HOST: &str = "vm-2";
/// Time of the machine's last heartbeat, in milliseconds.
const REPORTED: u64 = 60_000;

fn heartbeat(id: &JobId, heartbeat_sequence: u64, stages: &[&str]) -> Heartbeat {
    let tasks = stages
        .iter()
        .enumerate()
        .map(|(index, stage)| json!({"pick": format!("{id}/{index}"), "try": 1, "stage": stage}));
    let heartbeat = json!({"host": HOST, "address": "10.0.0.9:1", "rig": "g8", "yard": "a",
        "loaners": false, "shift": 1, "tally": heartbeat_sequence, "baton": WorkerToken::connected(FencingToken(5)),
        "picks": tasks.collect::<Vec<_>>()});
    serde_json::from_value(heartbeat).unwrap()
}

/// An array of two tasks on a machine that sent a heartbeat: the first runs, the second has not started.
fn reported_machine() -> (Controller, JobId) {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.kind, spec.tasks) = (JobKind::Array, 2);
    let here = placed(HOST, "a.0", 1);
    let (mut controller, id) = controller(spec, vec![here.clone(), here]);
    let shard = ShardId::parse("a.0").unwrap();
    let (machine_id, machine_type, zone) = (MachineId::from(HOST), "g8".into(), "a".into());
    let mut machine = Machine::new(
        machine_id.clone(),
        machine_type,
        zone,
        false,
        shard,
        "n0".into(),
    );
    machine.reachability.confirm();
    controller.machines.insert(machine_id, machine);
    controller.now = Millis(REPORTED);
    controller.contact.last_heartbeat = controller.now;
    controller.answer_heartbeat(heartbeat(&id, 1, &["running"]));
    end_exchanges(&mut controller);
    let machine = controller.machines.get_mut(&MachineId::from(HOST)).unwrap();
    machine.reachability.confirm();
    // The commands piggybacked on the response were lost.
    machine.direct.piggybacked.starts.clear();
    controller.effects.clear();
    (controller, id)
}

/// Ends all exchanges of direct commands without a reply.
fn end_exchanges(controller: &mut Controller) {
    for effect in std::mem::take(&mut controller.effects) {
        if let Effect::DirectCommands {
            machine_id,
            exchange,
            ..
        } = effect
        {
            controller.on_direct_reply(&machine_id, exchange, None);
        }
    }
}

fn reply_to_direct(controller: &mut Controller, heartbeat: Heartbeat, at: u64) {
    controller.now = Millis(at);
    let reply = CommandReply {
        heartbeat: Some(heartbeat),
    };
    controller.on_direct_reply(&MachineId::from(HOST), ExchangeId(0), Some(reply));
}

/// Commands sent to the machine since the last call.
fn sent(controller: &mut Controller) -> Vec<WorkerCommand> {
    let effects = std::mem::take(&mut controller.effects).into_iter();
    let commands = effects.filter_map(|effect| match effect {
        Effect::DirectCommands { commands, .. } => Some(commands),
        _ => None,
    });
    commands.flatten().collect()
}

/// Machines that answered direct commands but could not send heartbeats were given tasks repeatedly, and all of
/// these tasks ended when the worker's lease expired.
#[test]
fn machines_that_answer_but_cannot_report_get_no_tasks() {
    let silence = reported_machine().0.heartbeat_timeout().0;
    for (after, shard_moved_at, known_unable_to_report, schedulable) in [
        (silence, 0, false, true),
        (silence + 1, 0, false, false),
        // Workers may not have found a new holder yet.
        (silence + 1, REPORTED, false, true),
        (silence + 1, REPORTED, true, false),
        (silence + 12_000, REPORTED, false, false),
    ] {
        let (mut controller, id) = reported_machine();
        if known_unable_to_report {
            let machine = controller.machines.get_mut(&MachineId::from(HOST));
            machine
                .unwrap()
                .reachability
                .mark_heartbeats_lost(controller.now);
        }
        let shard = ShardId::parse("a.0").unwrap();
        controller
            .membership
            .shard_moved_at
            .insert(shard, Millis(shard_moved_at));
        reply_to_direct(
            &mut controller,
            heartbeat(&id, 2, &["running"]),
            REPORTED + after,
        );
        let takes_tasks =
            controller.is_schedulable_locally(&controller.machines[&MachineId::from(HOST)]);
        let case = format!(
            "{after} ms after, shard moved at {shard_moved_at}, known unable: {known_unable_to_report}"
        );
        assert_eq!(takes_tasks, schedulable, "{case}");
        // Its next heartbeat makes it schedulable again, once it has answered the probe sent then.
        let (now, machine_id) = (controller.now, MachineId::from(HOST));
        controller.answer_heartbeat(heartbeat(&id, 3, &["running"]));
        reply_to_direct(&mut controller, heartbeat(&id, 4, &["running"]), now.0 + 10);
        assert!(
            controller.is_schedulable_locally(&controller.machines[&machine_id]),
            "{case}"
        );
    }
}

#[test]
fn a_machine_whose_heartbeats_are_lost_is_evacuated_before_its_lease_expires() {
    let lease = Millis::from_secs(reported_machine().0.settings.deployment.workers.lease_s).0;
    let silence = reported_machine().0.heartbeat_timeout().0;
    let running = &["running"][..];
    let cases = [
        // cancelled, ms after the last heartbeat; stops of the running task, whether the other task is released
        (false, silence, 0, false),
        (false, silence + 1, 0, true),
        (false, lease - 3_000, 1, true),
        (true, silence + 1, 1, true),
    ];
    for (cancelled, after, stops, released) in cases {
        let (mut controller, id) = reported_machine();
        controller.membership.shard_moved_at.clear();
        if cancelled {
            let record = JobRecord {
                phase: Phase::Aborting,
                ..controller.jobs.get(&id).unwrap().record.clone()
            };
            let text = serde_json::to_string(&record).unwrap();
            controller.apply(&job_key(&id), Some(&text), Revision(20));
            controller.effects.clear();
        }
        reply_to_direct(
            &mut controller,
            heartbeat(&id, 2, running),
            REPORTED + after,
        );
        let sent = sent(&mut controller);
        let case = format!("cancelled {cancelled}, after {after} ms: {sent:?}");
        let stop = |command: &&WorkerCommand| matches!(command, WorkerCommand::Stop { task, .. } if task.index == 0);
        assert_eq!(sent.iter().filter(stop).count(), stops, "{case}");
        let starts = |command: &WorkerCommand| matches!(command, WorkerCommand::Start { .. });
        assert!(!sent.iter().any(starts), "{case}");
        let changes = &controller.jobs.get(&id).unwrap().pending_changes;
        assert_eq!(changes.contains_key(&1), released, "{case}");
        assert!(!changes.contains_key(&0), "{case}");
    }
}

/// Silence does not show its cause: a machine that still runs proves so by answering a probe.
#[test]
fn silent_machines_are_probed() {
    for (after, probed) in [(1, false), (2, true)] {
        let (mut controller, _) = reported_machine();
        controller.now = Millis(REPORTED + controller.heartbeat_timeout().0 - 1 + after);
        controller.probe_silent_machines();
        let sent = controller.effects.iter();
        let probes = |effect: &&Effect| matches!(effect, Effect::DirectCommands { .. });
        assert_eq!(sent.filter(probes).count(), usize::from(probed), "{after}");
    }
}

/// When most machines could not send heartbeats, each was evacuated as if it were the only one, and nearly
/// all tasks were stopped, although the fault ended before the leases expired.
#[test]
fn with_most_heartbeats_overdue_responding_machines_are_used() {
    let (heartbeat_interval_s, silence) = {
        let controller = reported_machine().0;
        let heartbeat_interval_s = controller.settings.deployment.workers.heartbeat_interval_s;
        (heartbeat_interval_s, controller.heartbeat_timeout().0)
    };
    let overdue_after = (heartbeat_interval_s * 1_600.0) as u64;
    for (machines, overdue, used) in [(1, 1, false), (3, 3, true), (9, 4, false), (9, 5, true)] {
        let (mut controller, id) = reported_machine();
        controller.membership.shard_moved_at.clear();
        controller
            .machines
            .retain(|machine_id, _| machine_id.as_str() == HOST);
        let at = REPORTED + silence + 1;
        let template = controller.machines[&MachineId::from(HOST)].clone();
        for index in 1..machines {
            let mut other = template.clone();
            other.machine_id = MachineId::from(format!("vm-{}", 100 + index));
            let silent_for = overdue_after + u64::from(index < overdue);
            other.last_heartbeat = Millis(at - silent_for);
            controller.machines.insert(other.machine_id.clone(), other);
        }
        controller.now = Millis(at);
        controller.update_overdue_heartbeats();
        reply_to_direct(&mut controller, heartbeat(&id, 2, &["running"]), at);
        let takes_tasks =
            controller.is_schedulable_locally(&controller.machines[&MachineId::from(HOST)]);
        assert_eq!(takes_tasks, used, "{overdue} of {machines}");
    }
}
