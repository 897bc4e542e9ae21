use super::*;
use crate::controller::Effect;
use crate::controller::commits::tests::controller;
use crate::jobs::api::{parse, tests::body};
use crate::jobs::cache::TaskChange;
use crate::jobs::{Placement, Task};
use crate::lease::LEADER_KEY;
use crate::quota::hierarchical::{HierarchicalQuota, PendingTreeWrite, TREE_HEAD_KEY};
use crate::settings::TeamSettings;
use crate::store::{StoreCall, Transaction};
use crate::types::{AgentEpoch, Attempt, Millis, ShardId};
use hierarchical_quota::TreeSpec;

/// A leader with one job of eight tasks and a tree in force at revision 11 that limits the job's team, and
/// its parent node to one task more.
fn with_tree(applied: u64, most: u32) -> (Controller, JobId) {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.kind, spec.tasks) = (JobKind::Array, 8);
    let (mut controller, id) = controller(spec, vec![Task::NEVER_PLACED; 8]);
    let team = TeamSettings {
        name: "vision".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    let text = format!(
        "[tree]\nrevision=1\n[node top]\ngpus=4\ngpus_max={}\n\
         [node v]\nparent=top\nteam=vision\ngpus_max={most}\n",
        most + 1
    );
    let file = TreeSpec::parse("f", &text).unwrap();
    controller.quota.hierarchy =
        HierarchicalQuota::new(std::slice::from_ref(&team), Some(&file), 8.0);
    controller.apply(
        LEADER_KEY,
        Some(r#"{"leader":"n0","permit":1}"#),
        Revision(9),
    );
    let mut revision = 9;
    loop {
        let changes = match controller.quota.hierarchy.pending_write(1) {
            PendingTreeWrite::Pages(pages) => pages,
            PendingTreeWrite::Head(text, _) => vec![(TREE_HEAD_KEY.to_string(), text)],
            PendingTreeWrite::Nothing => break,
        };
        for (key, text) in changes {
            revision += 1;
            controller.apply(&key, Some(&text), Revision(revision));
        }
    }
    assert_eq!(controller.quota.hierarchy.active_version(), Revision(11));
    controller.store_sync.applied = Revision(applied);
    controller.effects.clear();
    (controller, id)
}

fn place(controller: &mut Controller, id: &JobId, task: u32) -> Option<Transaction> {
    let placement = Placement {
        machine_id: "vm-a".into(),
        shard: ShardId::parse("a.0").unwrap(),
        agent_epoch: AgentEpoch(1),
        attempt: Attempt(1),
    };
    controller
        .jobs
        .note_change(id, task, TaskChange::Place(placement));
    controller.commit(id);
    written(controller)
}

fn written(controller: &Controller) -> Option<Transaction> {
    controller.effects.iter().find_map(|effect| match effect {
        Effect::Store {
            call: StoreCall::Transaction(txn),
            ..
        } => Some(txn.clone()),
        _ => None,
    })
}

fn required(txn: &Transaction, key: &str) -> Option<u64> {
    let known = txn.conditions.iter().find(|(k, _)| k == key);
    known.map(|(_, version)| version.0)
}

/// A transaction may be applied minutes late, when a tree with other limits is in force. So every
/// placement and every allocation is conditional on the version of the tree.
#[test]
fn placements_and_allocations_are_conditional_on_the_tree_version() {
    let (mut controller, id) = with_tree(11, 5);
    let txn = place(&mut controller, &id, 0).unwrap();
    assert_eq!(required(&txn, TREE_HEAD_KEY), Some(11));
    // The same transaction raises the shares of both levels in the shard's single record.
    let text = format!("{:?}", txn.changes);
    assert!(text.contains("vision") && text.contains("#top"), "{text}");
    assert_eq!(txn.changes.len(), 2, "{text}");

    let (mut controller, _) = with_tree(11, 60);
    controller.now = Millis(10_000);
    controller.reallocate_quota();
    let txn = written(&controller).unwrap();
    assert_eq!(required(&txn, TREE_HEAD_KEY), Some(11));

    // A newer head whose pages have not arrived: decisions under the old tree are conditional on its
    // version, and so fail; nothing is allocated or raised.
    let head = r#"{"revision":2,"hash":"x","pages":1,"hold_ms":0,"enabled":true}"#;
    let (mut controller, id) = with_tree(12, 60);
    controller.apply(TREE_HEAD_KEY, Some(head), Revision(12));
    controller.now = Millis(10_000);
    controller.reallocate_quota();
    assert!(written(&controller).is_none());
    assert!(place(&mut controller, &id, 0).is_none());
}

/// No share is raised until all placements under the previous tree are known.
#[test]
fn no_share_rises_before_all_placements_under_the_old_tree_are_known() {
    for (applied, rises) in [(10, false), (11, true)] {
        let (mut controller, id) = with_tree(applied, 5);
        let wrote = place(&mut controller, &id, 0).is_some();
        assert_eq!(wrote, rises, "applied up to {applied}");
    }
}

/// The team's limit admits five tasks and its node's limit six: the sixth task is not placed.
#[test]
fn every_level_caps_placements() {
    let (mut controller, id) = with_tree(11, 5);
    for task in 0..5 {
        let placement = Placement {
            machine_id: "vm-a".into(),
            shard: ShardId::parse("a.0").unwrap(),
            agent_epoch: AgentEpoch(1),
            attempt: Attempt(1),
        };
        controller
            .jobs
            .note_change(&id, task, TaskChange::Place(placement));
    }
    assert!(place(&mut controller, &id, 5).is_none());
    controller.jobs.discard(&id, &[5]);
    assert!(place(&mut controller, &id, 4).is_some());
}
