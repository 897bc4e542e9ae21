use super::*;
use crate::controller::Effect;
use crate::controller::commits::tests::controller_with;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::cache::TaskChange;
use crate::jobs::{JobKind, Placement, Task};
use crate::lease::LEADER_KEY;
use crate::quota::allocation_key;
use crate::settings::tests::settings;
use crate::store::{Mutation as Write, StoreCall, StoreResponse, Transaction};
use crate::types::{AgentEpoch, Attempt, FencingToken, Revision};

/// A controller that leads, and its only job, whose tasks need 8 GPUs each under a limit of 64.
fn leader(tasks: Vec<Task>) -> (Controller, JobId) {
    leader_with(8.0, 64.0, tasks)
}

fn leader_with(task_gpus: f64, gpus_max: f64, tasks: Vec<Task>) -> (Controller, JobId) {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.kind, spec.tasks) = (JobKind::Array, tasks.len() as u32);
    (spec.one_zone, spec.spread) = (false, false);
    let mut settings = settings();
    settings["deployment"]["teams"] = serde_json::json!([{"name": spec.team.to_string(),
        "cpus": 0.0, "cpus_max": 0.0, "gpus": 1.0, "gpus_max": gpus_max}]);
    spec.resources.gpus = task_gpus;
    let (mut controller, id) = controller_with(&settings, spec, tasks);
    let leader_record = r#"{"leader":"n0","permit":1}"#;
    controller.apply(LEADER_KEY, Some(leader_record), Revision(9));
    controller.store_sync.applied = Revision(50);
    controller.effects.clear();
    (controller, id)
}

fn placement(machine_id: &str, shard: &str) -> Placement {
    Placement {
        machine_id: machine_id.into(),
        shard: ShardId::parse(shard).unwrap(),
        agent_epoch: AgentEpoch(1),
        attempt: Attempt(1),
    }
}

/// The keys that the transactions among the controller's pending effects write.
fn written(controller: &Controller) -> Vec<String> {
    let mut keys = Vec::new();
    for effect in &controller.effects {
        if let Effect::Store {
            call: StoreCall::Transaction(txn),
            ..
        } = effect
        {
            let puts = txn.changes.iter().filter_map(|change| match change {
                Write::Put { key, .. } => Some(key.clone()),
                Write::Delete { .. } => None,
            });
            keys.extend(puts);
        }
    }
    keys
}

/// A reallocation got no response, the next one allocated the same quota to another shard, and the
/// first was applied after it: both shards could use the quota.
#[test]
fn a_reallocation_of_unknown_outcome_is_fenced_off_before_the_next() {
    let shard = ShardId::parse("a.0").unwrap();
    let cases = [
        (StoreResponse::Committed(Revision(30)), false),
        (StoreResponse::Conflict(Revision(30)), false),
        (StoreResponse::Refused, false),
        (StoreResponse::Unknown, true),
    ];
    for (response, is_unresolved) in cases {
        let (mut controller, _) = leader(vec![Task::NEVER_PLACED]);
        let expected_version = (shard.clone(), controller.quota.allocations.version(&shard));
        assert!(controller.may_raise_allocations());
        let name = format!("{response:?}");
        controller.on_allocated(expected_version, response);
        assert_eq!(controller.may_raise_allocations(), !is_unresolved, "{name}");
        controller.now = Millis(9_000);
        controller.resolve_unknown_transactions();
        let rewritten = written(&controller).contains(&allocation_key(&shard));
        assert_eq!(rewritten, is_unresolved, "{name}");
        controller.quota.allocations_in_flight = 0;
        // The watch shows that the record has changed: the reallocation was applied before, or never will be.
        controller.apply(&allocation_key(&shard), Some("{}"), Revision(31));
        controller.resolve_unknown_transactions();
        assert!(controller.may_raise_allocations(), "{name}");
    }
}

/// While a placement was in flight, another task of the job was reserved in another shard. The placement
/// got no response, the other shard's allocation record was rewritten instead of the placement's own, and
/// the placement could still be applied after its quota had been reassigned.
#[test]
fn a_placement_of_unknown_outcome_is_fenced_off_through_its_own_shard() {
    let (mut controller, id) = leader(vec![Task::NEVER_PLACED, Task::NEVER_PLACED]);
    let limited = !controller
        .limits(controller.jobs.get(&id).unwrap())
        .is_empty();
    assert!(limited, "the job's team has a limit");
    let sent = TaskChange::Place(placement("vm-b", "b.0"));
    controller.jobs.add_pending_change(&id, 1, sent.clone());
    let later = TaskChange::Place(placement("vm-a", "a.0"));
    controller.jobs.add_pending_change(&id, 0, later);
    controller.commits.backlog.in_flight = 1;
    controller.on_task_changes_written(id, vec![(1, sent)], StoreResponse::Unknown);
    controller.now = Millis(9_000);
    controller.resolve_unknown_transactions();
    let allocation = allocation_key(&ShardId::parse("b.0").unwrap());
    assert_eq!(written(&controller), [allocation]);
}

/// A leader placed a task in another holder's shard by raising that shard's allocation. The transaction
/// was applied after the leader's term, when its successor had allocated the same quota to other shards.
#[test]
fn a_leaders_placements_in_other_shards_are_conditioned_on_its_term() {
    for (holder, lease_id, required) in [("n0", 1, false), ("n1", 2, true)] {
        let (mut controller, id) = leader(vec![Task::NEVER_PLACED]);
        let record = format!("{{\"holder\":\"{holder}\",\"permit\":{lease_id}}}");
        let shard = ShardId::parse("b.0").unwrap();
        let key = crate::lease::shard_key(&shard);
        controller.apply(&key, Some(&record), Revision(40));
        assert_eq!(
            controller.membership.leases.shards[&shard].tenure.token,
            FencingToken(40)
        );
        controller.effects.clear();
        let change = TaskChange::Place(placement("vm-b", "b.0"));
        controller.jobs.add_pending_change(&id, 0, change);
        controller.now = Millis(9_000);
        controller.commit(&id);
        let conditions = controller.effects.iter().find_map(|effect| match effect {
            Effect::Store {
                call: StoreCall::Transaction(txn),
                ..
            } => Some(txn.conditions.clone()),
            _ => None,
        });
        let conditions = conditions.expect("the placement is sent");
        let has_condition = conditions.contains(&(LEADER_KEY.to_string(), Revision(9)));
        assert_eq!(has_condition, required, "held by {holder}: {conditions:?}");
    }
}

/// Two tasks were reserved in a shard that used less than its allocation. The allocation was raised by both,
/// although the limit had been checked against the shard's resulting usage: all shards together could
/// exceed the limit by one task.
#[test]
fn an_allocation_is_raised_by_the_amount_checked_against_the_limit() {
    let cases = [
        // holder of the shard, its allocation, the other shard's allocation, tasks placed, new allocation
        ("n0", 1.0, 4.0, 2, Some(2.0)),
        ("n0", 1.0, 4.0, 3, None),
        ("n0", 2.0, 4.0, 2, Some(2.0)),
        // Another holder may have used its allocation, which this controller has not observed yet.
        ("n1", 1.0, 4.0, 2, None),
        ("n1", 1.0, 3.0, 2, Some(3.0)),
        ("n1", 0.0, 4.0, 2, Some(2.0)),
    ];
    for (holder, allocated, other, tasks, raised) in cases {
        let (mut controller, id) = leader_with(1.0, 6.0, vec![Task::NEVER_PLACED; 4]);
        let record = format!("{{\"holder\":\"{holder}\",\"permit\":1}}");
        let [a, b] = ["a.0", "b.0"].map(|name| ShardId::parse(name).unwrap());
        controller.apply(&crate::lease::shard_key(&b), Some(&record), Revision(20));
        let team = controller.jobs.get(&id).unwrap().spec.team.clone();
        for (shard, gpus) in [(&a, other), (&b, allocated)] {
            let record = format!("{{\"{team}\":{{\"cpus\":0.0,\"gpus\":{gpus:?}}}}}");
            controller.apply(&allocation_key(shard), Some(&record), Revision(21));
        }
        for index in 0..tasks {
            let change = TaskChange::Place(placement("vm-b", "b.0"));
            controller.jobs.add_pending_change(&id, index, change);
        }
        let mut txn = Transaction::default();
        let job = controller.jobs.get(&id).unwrap();
        let allowed = controller.require_allocations(job, &mut txn, &[(b.clone(), tasks)]);
        let case = format!("{holder}, {allocated}, {other}, {tasks}");
        assert_eq!(allowed, raised.is_some(), "{case}");
        let put = txn.changes.iter().find_map(|change| match change {
            Write::Put { data, .. } => Some(data.clone()),
            Write::Delete { .. } => None,
        });
        let put = put.map(|data| {
            let record: serde_json::Value = serde_json::from_str(&data).unwrap();
            record[team.to_string()]["gpus"].as_f64().unwrap()
        });
        if let Some(raised) = raised {
            assert_eq!(put.unwrap_or(allocated), raised, "{case}");
        }
    }
}
