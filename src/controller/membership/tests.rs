use super::*;
use crate::controller::Effect;
use crate::controller::commits::tests::controller;
use crate::jobs::Task;
use crate::jobs::api::{parse, tests::body};

/// The lease that the controller of these tests holds.
const CURRENT: LeaseId = LeaseId(1);

fn member() -> Controller {
    let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
    let (mut controller, _) = controller(spec, vec![Task::NEVER_PLACED; 8]);
    controller.membership.old_lease_ended = true;
    controller
}

/// Guards against the loss of a sound lease by an answer that was about an earlier lease of the same process.
#[test]
fn an_answer_about_an_earlier_lease_does_not_end_the_current_one() {
    let sent_at = Millis(0);
    let purposes: [fn(LeaseId, Millis) -> CallPurpose; 4] = [
        |lease_id, sent_at| CallPurpose::RenewLease { lease_id, sent_at },
        |lease_id, _| CallPurpose::Register { lease_id },
        |lease_id, _| CallPurpose::ClaimLeadership { lease_id },
        |lease_id, _| CallPurpose::RaiseToken { lease_id },
    ];
    for purpose in purposes {
        for (lease_id, kept) in [(CURRENT, false), (LeaseId(9), true)] {
            let mut controller = member();
            let case = format!("{:?}", purpose(lease_id, sent_at));
            let call = StoreCall::Renew(lease_id);
            controller.call_store(CallClass::Leases, call, purpose(lease_id, sent_at));
            let tag = *controller.calls.store.keys().max().unwrap();
            controller.on_store(tag, StoreResponse::LeaseExpired);
            let lease = controller.membership.leases.lease_id();
            assert_eq!(lease.is_some(), kept, "{case}");
        }
    }
}

/// Guards against steps that were refused and sent again unchanged several times a second, until another controller
/// changed the records.
#[test]
fn a_refused_step_waits_for_the_records_that_refused_it() {
    let mut controller = member();
    let sent = |controller: &mut Controller| {
        let effects = std::mem::take(&mut controller.effects);
        let is_write = |effect: &Effect| {
            matches!(
                effect,
                Effect::Store {
                    call: StoreCall::Transaction(_),
                    ..
                }
            )
        };
        effects.iter().any(is_write)
    };
    controller.store_sync.applied = Revision(10);
    controller.renew_membership();
    assert!(sent(&mut controller), "the first registration");
    let tag = *controller.calls.store.keys().max().unwrap();
    controller.on_store(tag, StoreResponse::Conflict(Revision(12)));
    controller.renew_membership();
    assert!(!sent(&mut controller), "before the cache shows the record");
    controller.store_sync.applied = Revision(12);
    controller.renew_membership();
    assert!(sent(&mut controller), "after it");
}
