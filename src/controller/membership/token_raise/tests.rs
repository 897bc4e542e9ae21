use super::*;
use crate::controller::Effect;
use crate::controller::commits::tests::{controller, placed};
use crate::jobs::api::{parse, tests::body};
use crate::jobs::cache::{Evidence, TaskChange};
use crate::jobs::record::{encode_page, page_key};
use crate::jobs::{JobKind, Task};
use crate::settings::OperatorSettings;
use crate::store::{Mutation, StoreCall};
use crate::types::{
    Attempt, ExchangeId, FencingToken, JobId, MachineId, Millis, TaskId, WorkerToken,
};
use crate::workers::direct_channel::{ExchangeOutcome, ExchangeStart};
use crate::workers::wire::WorkerCommand;

/// Token under which the controller of these tests acquired its shards.
const ACQUIRED: FencingToken = FencingToken(5);

/// Sends this many starts to machine vm-a directly, which answers them.
fn send_starts(controller: &mut Controller, count: u32) {
    let machine = controller
        .machines
        .get_mut(&MachineId::from("vm-a"))
        .unwrap();
    let start = ExchangeStart {
        exchange: ExchangeId(1),
        worker_token: WorkerToken::connected(ACQUIRED),
        agent_epoch: machine.agent_epoch,
        heartbeat_sequence: 3,
    };
    let task = |index| TaskId {
        job: "job-1".into(),
        index,
    };
    let starts = (0..count).map(|index| WorkerCommand::Start {
        task: task(index),
        attempt: Attempt(1),
    });
    machine.direct.begin(start, &Vec::from_iter(starts));
    let answered = ExchangeOutcome::Answered(machine.agent_epoch, 4);
    machine.direct.end(ExchangeId(1), answered);
}

/// Transactions that the controller sent since the last call, with their tags.
fn transactions(controller: &mut Controller) -> Vec<(u64, Transaction)> {
    let effects = std::mem::take(&mut controller.effects).into_iter();
    let transactions = effects.filter_map(|effect| match effect {
        Effect::Store {
            tag,
            call: StoreCall::Transaction(txn),
            ..
        } => Some((tag, txn)),
        _ => None,
    });
    transactions.collect()
}

fn controller_with_starts(count: u32) -> Controller {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    (spec.kind, spec.tasks, spec.one_zone) = (JobKind::Array, 1, false);
    let (mut controller, _) = controller(spec, vec![Task::NEVER_PLACED]);
    send_starts(&mut controller, count);
    controller
}

/// Guards against lists of attempts that grow for as long as a controller holds a shard.
#[test]
fn a_token_is_raised_before_a_worker_lists_too_many_attempts() {
    let limit = OperatorSettings::default().starts_per_token;
    type Change = fn(&mut Controller);
    let cases: [(u32, Change, bool); 6] = [
        // starts, change of the controller, raised
        (limit - 1, |_| {}, false),
        (limit, |_| {}, true),
        // The lease has too little time left.
        (limit, |c| c.now = Millis(59_900), false),
        (limit, |c| c.store_sync.synced = false, false),
        // Another controller holds the shard by now.
        (
            limit,
            |c| {
                let record = r#"{"holder":"n1","permit":2}"#;
                c.apply("jt/block/a.0", Some(record), Revision(9));
                c.effects.clear();
            },
            false,
        ),
        // The worker obeys any token, since its counters were reset.
        (
            1,
            |c| {
                let machine = c.machines.get_mut(&MachineId::from("vm-a")).unwrap();
                let probe = ExchangeStart {
                    exchange: ExchangeId(2),
                    worker_token: WorkerToken::connected(ACQUIRED),
                    agent_epoch: machine.agent_epoch,
                    heartbeat_sequence: 9,
                };
                machine.direct.begin(probe, &[]);
                let reset = ExchangeOutcome::Answered(machine.agent_epoch, 2);
                machine.direct.end(ExchangeId(2), reset);
            },
            true,
        ),
    ];
    for (index, (starts, change, raised)) in cases.into_iter().enumerate() {
        let mut controller = controller_with_starts(starts);
        change(&mut controller);
        controller.raise_token_if_due();
        let sent = transactions(&mut controller);
        assert_eq!(sent.len(), usize::from(raised), "case {index}");
        // No second one is sent meanwhile.
        controller.raise_token_if_due();
        assert!(transactions(&mut controller).is_empty(), "case {index}");
    }
}

/// Guards against work that stops for a moment, or evidence that is dropped, when a token is raised.
#[test]
fn a_raised_token_changes_nothing_but_the_fence() {
    let mut controller = controller_with_starts(OperatorSettings::default().starts_per_token);
    let shard = ShardId::parse("a.0").unwrap();
    let machine_id = MachineId::from("vm-a");
    let machine = controller.machines.get_mut(&machine_id).unwrap();
    machine.worker_token = WorkerToken::connected(ACQUIRED);
    machine.last_answer = Some((ACQUIRED, Millis(1)));
    machine.reachability.confirm();
    assert!(controller.is_schedulable_locally(&controller.machines[&machine_id]));
    let moved_at = controller.membership.shard_moved_at.get(&shard).copied();
    controller.now = Millis(2_000);

    controller.raise_token_if_due();
    let (tag, txn) = transactions(&mut controller).remove(0);
    let key = lease::shard_key(&shard);
    assert_eq!(txn.conditions, [(key.clone(), Revision(ACQUIRED.0))]);
    let expected = r#"{"holder":"n0","permit":1,"acquired":5}"#;
    match &txn.changes[..] {
        [
            Mutation::Put {
                key: put,
                data,
                lease_id,
            },
        ] => {
            assert_eq!((put, data.as_str()), (&key, expected));
            assert_eq!(*lease_id, Some(LeaseId(1)));
        }
        changes => panic!("{changes:?}"),
    }
    controller.on_store(tag, StoreResponse::Committed(Revision(40)));

    let tenure = controller.tenure_of(&shard).unwrap();
    assert_eq!(
        (tenure.acquired, tenure.token),
        (ACQUIRED, FencingToken(40))
    );
    let machine = &controller.machines[&machine_id];
    assert!(controller.is_schedulable_locally(machine));
    assert!(tenure.covers(machine.worker_token.fencing_token()));
    let moved = controller.membership.shard_moved_at.get(&shard).copied();
    assert_eq!(moved, moved_at);
    assert_eq!(controller.contact.start_counts.tokens_raised, 1);
    // Evidence that was seen under the earlier token still counts.
    let release = TaskChange::Release {
        attempt: Attempt(1),
        evidence: Evidence::Holder(ACQUIRED),
    };
    let id = JobId::from("job-1");
    let page = encode_page(&[placed("vm-a", "a.0", 1)]);
    controller.apply(&page_key(&id, 0), Some(&page), Revision(41));
    controller.request_changes(vec![(id, 0, release)]);
    controller.now = Millis(10_000);
    controller.write_next();
    let sent = transactions(&mut controller);
    let conditions = sent.iter().flat_map(|(_, txn)| &txn.conditions);
    let required: Vec<Revision> = conditions
        .filter(|(required, _)| *required == key)
        .map(|(_, version)| *version)
        .collect();
    assert_eq!(required, [Revision(40)]);
    // The next token is due only after as many starts under this one.
    controller.raise_token_if_due();
    assert!(transactions(&mut controller).is_empty());
}
