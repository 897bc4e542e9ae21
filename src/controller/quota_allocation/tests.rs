use super::*;
use crate::controller::Effect;
use crate::controller::commits::tests::controller_with;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::cache::TaskChange;
use crate::jobs::{JobKind, Placement, Task};
use crate::lease::LEADER;
use crate::quota::share_key;
use crate::settings::tests::settings;
use crate::store::{Mutation as Write, StoreCall, StoreResponse, Transaction};
use crate::types::{AgentEpoch, Attempt, FencingToken, Revision};

fn leading(tasks: Vec<Task>) -> (Controller, JobId) {
    leading_with(8.0, 64.0, tasks)
}

fn leading_with(gpus: f64, gpus_max: f64, tasks: Vec<Task>) -> (Controller, JobId) {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.kind, spec.tasks) = (JobKind::Array, tasks.len() as u32);
    (spec.one_zone, spec.spread) = (false, false);
    let mut settings = settings();
    settings["deployment"]["teams"] = serde_json::json!([{"name": spec.team.to_string(),
        "cpus": 0.0, "cpus_max": 0.0, "gpus": 1.0, "gpus_max": gpus_max}]);
    spec.resources.gpus = gpus;
    let (mut controller, id) = controller_with(&settings, spec, tasks);
    let lead = r#"{"leader":"n0","permit":1}"#;
    controller.apply(LEADER, Some(lead), Revision(9));
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

/// The keys that the transactions rewrite which the controller has sent since.
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
                Write::Drop { .. } => None,
            });
            keys.extend(puts);
        }
    }
    keys
}

/// A deal got no answer, the next one gave the same room to another shard, and the first was
/// carried out after it: both shards could use it.
#[test]
fn a_deal_without_an_answer_is_ruled_out_before_the_next() {
    let shard = ShardId::parse("a.0").unwrap();
    let cases = [
        (StoreResponse::Committed(Revision(30)), false),
        (StoreResponse::Conflict(Revision(30)), false),
        (StoreResponse::Refused, false),
        (StoreResponse::Unknown, true),
    ];
    for (answer, unsure) in cases {
        let (mut controller, _) = leading(vec![Task::FRESH]);
        let rests_on = (shard.clone(), controller.quota.allocations.version(&shard));
        assert!(controller.may_raise());
        let name = format!("{answer:?}");
        controller.on_allocated(rests_on, answer);
        assert_eq!(controller.may_raise(), !unsure, "{name}");
        controller.now = Millis(9_000);
        controller.resolve_unknown_transactions();
        let rewritten = written(&controller).contains(&share_key(&shard));
        assert_eq!(rewritten, unsure, "{name}");
        controller.quota.allocations_in_flight = 0;
        // The watch shows that the share has changed: the deal was carried out before, or never is.
        controller.apply(&share_key(&shard), Some("{}"), Revision(31));
        controller.resolve_unknown_transactions();
        assert!(controller.may_raise(), "{name}");
    }
}

/// While a placement was under way another task of the job was reserved in another shard. The
/// placement got no answer, the other shard's share was rewritten, and it could still be carried out
/// after its room had been given away.
#[test]
fn a_placement_without_an_answer_is_ruled_out_by_its_own_shard() {
    let (mut controller, id) = leading(vec![Task::FRESH, Task::FRESH]);
    let limited = !controller
        .limits(controller.jobs.get(&id).unwrap())
        .is_empty();
    assert!(limited, "the job's team has a limit");
    let sent = TaskChange::Place(placement("vm-b", "b.0"));
    controller.jobs.want(&id, 1, sent.clone());
    let later = TaskChange::Place(placement("vm-a", "a.0"));
    controller.jobs.want(&id, 0, later);
    controller.commits.backlog.under_way = 1;
    controller.on_changes(id, vec![(1, sent)], StoreResponse::Unknown);
    controller.now = Millis(9_000);
    controller.resolve_unknown_transactions();
    let b = share_key(&ShardId::parse("b.0").unwrap());
    assert_eq!(written(&controller), [b]);
}

/// A leader placed in another's shard by raising its share. That was carried out after its term,
/// when its successor had dealt the same room to others.
#[test]
fn what_a_leader_places_in_shards_of_others_rests_on_its_term() {
    for (holder, lease_id, required) in [("n0", 1, false), ("n1", 2, true)] {
        let (mut controller, id) = leading(vec![Task::FRESH]);
        let record = format!("{{\"holder\":\"{holder}\",\"permit\":{lease_id}}}");
        let shard = ShardId::parse("b.0").unwrap();
        let key = crate::lease::shard_key(&shard);
        controller.apply(&key, Some(&record), Revision(40));
        assert_eq!(
            controller.membership.leases.shards[&shard].1,
            FencingToken(40)
        );
        controller.effects.clear();
        let change = TaskChange::Place(placement("vm-b", "b.0"));
        controller.jobs.want(&id, 0, change);
        controller.now = Millis(9_000);
        controller.commit(&id);
        let conditions = controller.effects.iter().find_map(|effect| match effect {
            Effect::Store {
                call: StoreCall::Transaction(txn),
                ..
            } => Some(txn.conditions.clone()),
            _ => None,
        });
        let conditions = conditions.expect("it is written");
        let rests = conditions.contains(&(LEADER.to_string(), Revision(9)));
        assert_eq!(rests, required, "held by {holder}: {conditions:?}");
    }
}

/// Two tasks were reserved in a shard that used less than its share. Its share was raised by both,
/// though the limit had been checked for what the shard would use: in the end all shards together
/// could use a task more than the limit.
#[test]
fn a_share_is_raised_by_what_the_limit_was_checked_for() {
    let cases = [
        // who holds the shard, its share, share of the other, tasks placed; new share of the shard
        ("n0", 1.0, 4.0, 2, Some(2.0)),
        ("n0", 1.0, 4.0, 3, None),
        ("n0", 2.0, 4.0, 2, Some(2.0)),
        // Another holder may have used its share unseen.
        ("n1", 1.0, 4.0, 2, None),
        ("n1", 1.0, 3.0, 2, Some(3.0)),
        ("n1", 0.0, 4.0, 2, Some(2.0)),
    ];
    for (holder, share, other, tasks, raised) in cases {
        let (mut controller, id) = leading_with(1.0, 6.0, vec![Task::FRESH; 4]);
        let record = format!("{{\"holder\":\"{holder}\",\"permit\":1}}");
        let [a, b] = ["a.0", "b.0"].map(|name| ShardId::parse(name).unwrap());
        controller.apply(&crate::lease::shard_key(&b), Some(&record), Revision(20));
        let team = controller.jobs.get(&id).unwrap().spec.team.clone();
        for (shard, gpus) in [(&a, other), (&b, share)] {
            let record = format!("{{\"{team}\":{{\"cpus\":0.0,\"gpus\":{gpus:?}}}}}");
            controller.apply(&share_key(shard), Some(&record), Revision(21));
        }
        for index in 0..tasks {
            let change = TaskChange::Place(placement("vm-b", "b.0"));
            controller.jobs.want(&id, index, change);
        }
        let mut txn = Transaction::default();
        let job = controller.jobs.get(&id).unwrap();
        let allowed = controller.require_shares(job, &mut txn, &[(b.clone(), tasks)]);
        let case = format!("{holder}, {share}, {other}, {tasks}");
        assert_eq!(allowed, raised.is_some(), "{case}");
        let put = txn.changes.iter().find_map(|change| match change {
            Write::Put { data, .. } => Some(data.clone()),
            Write::Drop { .. } => None,
        });
        let put = put.map(|data| {
            let record: serde_json::Value = serde_json::from_str(&data).unwrap();
            record[team.to_string()]["gpus"].as_f64().unwrap()
        });
        if let Some(raised) = raised {
            assert_eq!(put.unwrap_or(share), raised, "{case}");
        }
    }
}
