//! Key-value store: requests as encoded, responses as decoded.

use jaspertiller::clock::Clock;
use jaspertiller::store::{CallClass, Store, StoreCall, StoreResponse, Transaction, Update};
use jaspertiller::types::{LeaseId, Revision};
use tokio::sync::mpsc;

use crate::Fixtures;
use crate::loopback::service;
use crate::settings::settings;

/// A text form of a decoded response, to compare it with the expected one.
fn show(response: &StoreResponse) -> String {
    match response {
        StoreResponse::Granted(lease_id) => format!("lease {}", lease_id.0),
        StoreResponse::Renewed => "renewed".into(),
        StoreResponse::Revoked => "ended".into(),
        StoreResponse::LeaseExpired => "no lease".into(),
        StoreResponse::Committed(revision) => format!("committed at {}", revision.0),
        StoreResponse::Conflict(revision) => format!("conflict at {}", revision.0),
        StoreResponse::Revision(revision) => format!("revision {}", revision.0),
        StoreResponse::Page {
            entries,
            more,
            revision,
        } => {
            let entries = entries.iter();
            let entries = entries.map(|e| format!("{}={}@{}", e.key, e.data.get(), e.version.0));
            let entries: Vec<String> = entries.collect();
            format!("page {entries:?} more {more} at {}", revision.0)
        }
        StoreResponse::Updates { updates, revision } => {
            let updates = updates.iter().map(|update| match update {
                Update::Put(e) => format!("{}={}@{}", e.key, e.data.get(), e.version.0),
                Update::Deleted { key, version } => format!("-{key}@{}", version.0),
            });
            let updates: Vec<String> = updates.collect();
            format!("updates {updates:?} at {}", revision.0)
        }
        StoreResponse::Compacted => "too old".into(),
        StoreResponse::Refused => "refused".into(),
        StoreResponse::Unknown => "unknown".into(),
    }
}

/// A compare-and-swap transaction with each kind of condition and change.
fn txn() -> StoreCall {
    let mut txn = Transaction::default();
    txn.require("jt/job/job-000412".into(), Revision(0));
    txn.require("jt/block/a.1".into(), Revision(501));
    txn.put_json("jt/job/job-000412".into(), r#"{"a":[1,null]}"#.into(), None);
    txn.put_leased("jt/block/a.1".into(), &["n1"], LeaseId(7001));
    txn.put("jt/flavors".into(), &0.5);
    txn.delete("jt/task/job-000412/17".into());
    StoreCall::Transaction(txn)
}

/// Each call: the encoded request, and the decoded response of the answers fixture.
#[tokio::test]
async fn calls() {
    let requests = include_str!("fixtures/store-requests.txt");
    let mut requests = Fixtures::new("store-requests.txt", requests);
    let answers = include_str!("fixtures/store-answers.txt");
    let mut answers = Fixtures::new("store-answers.txt", answers);
    let list = |after: Option<&str>| StoreCall::List {
        after: after.map(String::from),
    };
    let follow = || StoreCall::Watch {
        from: Revision(431),
        wait_ms: 2_500,
    };
    let renew = || StoreCall::Renew(LeaseId(7001));
    let end = || StoreCall::Revoke(LeaseId(7001));
    let grant = || StoreCall::Grant { ttl_ms: 5_000 };
    let cases = [
        ("grant", grant(), "lease 7001"),
        ("grant-nonsense", grant(), "unknown"),
        ("renew", renew(), "renewed"),
        ("renew-too-late", renew(), "no lease"),
        ("end", end(), "ended"),
        ("end-empty", end(), "ended"),
        ("end-too-late", end(), "ended"),
        ("txn", txn(), "committed at 433"),
        ("txn-conflict", txn(), "conflict at 434"),
        ("txn-without-lease", txn(), "no lease"),
        (
            "txn-empty",
            StoreCall::Transaction(Transaction::default()),
            "committed at 435",
        ),
        ("revision", StoreCall::ReadRevision, "revision 436"),
        (
            "list",
            list(None),
            r#"page ["jt/lead={\"a\": [1, 2]}@431", "jt/tree=null@432"] more true at 433"#,
        ),
        (
            "list-on",
            list(Some("jt/task/job-000412/17")),
            "page [] more false at 433",
        ),
        (
            "follow",
            follow(),
            r#"updates ["jt/lead={\"a\":1}@432", "-jt/block/a.1@433"] at 434"#,
        ),
        ("follow-nothing", follow(), "updates [] at 431"),
        ("follow-too-old", follow(), "too old"),
        ("over-the-limit", renew(), "refused"),
        ("not-now", txn(), "refused"),
        ("unexpected", renew(), "unknown"),
    ];
    let scripted = cases.iter().map(|(name, ..)| answers.text(name).into());
    let (address, mut received) = service(scripted.collect()).await;
    let mut settings = settings();
    settings.endpoints.store = address;
    let (sender, mut responses) = mpsc::unbounded_channel();
    let store = Store::start(&settings, Clock::start(), sender);
    for (tag, (name, call, expected)) in (0..).zip(cases) {
        // Lease calls bypass the write budget.
        store.send(tag, CallClass::Leases, call);
        requests.check_encoded(name, &received.recv().await.unwrap());
        let reply = responses.recv().await.unwrap();
        answers.check(name, "tag", reply.tag, tag);
        let shown = show(&reply.response);
        answers.check(name, "decoded value differs", shown.as_str(), expected);
    }
    requests.finish();
    answers.finish();
}
