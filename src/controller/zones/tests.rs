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

/// A leader that assigned a shard to itself knew so before the watch had delivered the shard's last placements,
/// and sent the start of a task that had been placed elsewhere in the meantime.
#[test]
fn a_new_holder_sends_no_commands_before_its_cache_shows_all_placements() {
    for (applied, starts) in [(29, 0), (30, 1)] {
        let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
        (spec.kind, spec.tasks) = (JobKind::Array, 1);
        let (mut controller, id) = controller(spec, vec![Task::NEVER_PLACED]);
        let shards_per_zone = controller.settings.operator.shards_per_zone;
        let shard = shard_of(&"vm-a".into(), &"a".into(), shards_per_zone);
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
        let response =
            controller.answer_heartbeat(heartbeat(WorkerToken::connected(FencingToken(30))));
        let HeartbeatResponse::Commands {
            worker_token,
            commands,
        } = response
        else {
            panic!("{response:?}");
        };
        assert_eq!(worker_token, WorkerToken::connected(FencingToken(30)));
        assert_eq!(commands.len(), starts, "cache at revision {applied}");
    }
}

/// Under a token that is marked as partitioned, silence is no evidence that a lease has expired, so the token
/// must not be used again after partition mode.
#[test]
fn shards_are_released_on_leaving_partition_mode() {
    let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
    let (mut controller, _) = controller(spec, vec![Task::NEVER_PLACED]);
    let held_shards = |c: &Controller| {
        c.membership
            .leases
            .shards
            .values()
            .filter(|holder| holder.controller == c.me)
            .count()
    };
    assert_eq!(
        controller.worker_token(FencingToken(5)),
        WorkerToken::connected(FencingToken(5))
    );
    for (at, entered) in [(59_000, false), (60_100, false), (61_700, true)] {
        controller.now = Millis(at);
        controller.check_partition_mode();
        assert_eq!(controller.partition.mode.is_on(), entered, "at {at}");
    }
    assert_eq!(
        controller.worker_token(FencingToken(5)),
        WorkerToken::partitioned(FencingToken(5))
    );
    assert_eq!(held_shards(&controller), 2);
    controller.leave_partition_mode();
    assert_eq!(
        (held_shards(&controller), controller.partition.mode.is_on()),
        (0, false)
    );
    assert!(!controller.membership.old_lease_ended);
}
