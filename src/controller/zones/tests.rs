use serde_json::json;

use super::*;
use crate::controller::commits::tests::controller;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::record::{encode_page, page_key};
use crate::jobs::{JobKind, Placement, Task};
use crate::types::{AgentEpoch, Attempt, Millis, Revision};
use crate::workers::shard_of;

fn heartbeat(worker_token: WorkerToken) -> crate::workers::wire::Heartbeat {
    let heartbeat = json!({"host": "vm-a", "address": "", "rig": "g8", "yard": "a",
        "loaners": false, "shift": 1, "tally": 9, "baton": worker_token, "picks": []});
    serde_json::from_value(heartbeat).unwrap()
}

/// A leader that gave itself a shard knew of that before the watch had brought what was placed
/// and freed there last: it had a task start that had moved on.
#[test]
fn a_new_holder_gives_no_commands_before_it_knows_what_was_placed() {
    for (applied, starts) in [(29, 0), (30, 1)] {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks) = (JobKind::Array, 1);
        let (mut controller, id) = controller(spec, vec![Task::FRESH]);
        let parts = controller.settings.operator.blocks_per_zone;
        let shard = shard_of(&"vm-a".into(), &"a".into(), parts);
        let here = Task::Placed(Placement {
            machine_id: "vm-a".into(),
            shard: shard.clone(),
            agent_epoch: AgentEpoch(1),
            attempt: Attempt(1),
        });
        controller.apply(&page_key(&id, 0), Some(&encode_page(&[here])), Revision(8));
        let holder = r#"{"holder":"n0","permit":1}"#;
        controller.apply(&crate::lease::shard_key(&shard), Some(holder), Revision(30));
        controller.store_sync.applied = Revision(applied);
        let answer = controller.answer_heartbeat(heartbeat(WorkerToken::of(FencingToken(30))));
        let HeartbeatResponse::Commands {
            worker_token,
            commands,
        } = answer
        else {
            panic!("{answer:?}");
        };
        assert_eq!(worker_token, WorkerToken::of(FencingToken(30)));
        assert_eq!(commands.len(), starts, "known up to {applied}");
    }
}

/// Under a token that was marked as keeping silence proves nothing, so it is never used again.
#[test]
fn shards_are_given_up_after_machines_were_kept() {
    let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
    let (mut controller, _) = controller(spec, vec![Task::FRESH]);
    let held = |c: &Controller| {
        c.membership
            .leases
            .shards
            .values()
            .filter(|(h, _)| *h == c.me)
            .count()
    };
    assert_eq!(
        controller.worker_token(FencingToken(5)),
        WorkerToken::of(FencingToken(5))
    );
    for (at, keeps) in [(59_000, false), (60_100, false), (61_700, true)] {
        controller.now = Millis(at);
        controller.check_partition_mode();
        assert_eq!(controller.partition.mode.on(), keeps, "at {at}");
    }
    assert_eq!(
        controller.worker_token(FencingToken(5)),
        WorkerToken::partitioned(FencingToken(5))
    );
    assert_eq!(held(&controller), 2);
    controller.leave_partition_mode();
    assert_eq!(
        (held(&controller), controller.partition.mode.on()),
        (0, false)
    );
    assert!(!controller.membership.old_lease_ended);
}
