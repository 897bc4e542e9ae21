use super::*;
use crate::types::Zone;

fn controllers(
    list: &[(&str, &str, bool)],
) -> BTreeMap<ControllerId, (ControllerRecord, Revision)> {
    list.iter()
        .map(|(name, zone, receives_heartbeats)| {
            let record = ControllerRecord {
                lease_id: LeaseId(1),
                zone: (*zone).into(),
                receives_heartbeats: *receives_heartbeats,
            };
            ((*name).into(), (record, Revision(1)))
        })
        .collect()
}

#[test]
fn shards_go_to_controllers_of_their_zone_first() {
    type Case<'a> = (&'a [&'a str], &'a [(&'a str, &'a str, bool)], &'a str);
    let cases: &[Case] = &[
        (
            &["a", "b"],
            &[("n0", "a", true), ("n1", "b", true), ("n2", "a", true)],
            "a.0=n0 a.1=n2 b.0=n1 b.1=n1",
        ),
        (
            &["a", "b", "c"],
            &[("n0", "a", true), ("n1", "b", true)],
            "a.0=n0 a.1=n0 b.0=n1 b.1=n1 c.0=n0 c.1=n1",
        ),
        (
            &["a", "b"],
            &[("n0", "a", false), ("n1", "b", true)],
            "a.0=n1 a.1=n1 b.0=n1 b.1=n1",
        ),
        (&["a"], &[("n0", "b", false)], "a.0=n0 a.1=n0"),
        (&["a"], &[], ""),
    ];
    for (zones, list, expected) in cases {
        let zones: Vec<Zone> = zones.iter().map(|z| (*z).into()).collect();
        let shown: Vec<String> = desired_assignment(&zones, 2, &controllers(list))
            .iter()
            .map(|(shard, controller)| format!("{shard}={controller}"))
            .collect();
        assert_eq!(shown.join(" "), *expected);
    }
}

#[test]
fn an_older_record_is_ignored() {
    let mut leases = Leases::default();
    let holder = |name: &str| format!("{{\"holder\":\"{name}\",\"permit\":7}}");
    let shard = ShardId::parse("a.0").unwrap();
    let steps = [
        (Some(holder("n0")), 5, Some("n0")),
        (Some(holder("n1")), 4, Some("n0")),
        (None, 3, Some("n0")),
        (Some(holder("n1")), 9, Some("n1")),
        (None, 10, None),
    ];
    for (data, version, expected) in steps {
        leases.apply(
            &"n9".into(),
            "jt/block/a.0",
            data.as_deref(),
            Revision(version),
        );
        let held = leases.shards.get(&shard).map(|h| h.controller.as_str());
        assert_eq!(held, expected, "at {version}");
    }
}

/// A leader that returned from a partition acquired a new lease and, until the watch reported its successor, acted
/// as leader again: it deleted twelve machines that ran tasks.
#[test]
fn losing_the_lease_drops_only_own_leadership_and_shards() {
    let mut leases = Leases {
        own: OwnLease::Held {
            lease_id: LeaseId(7),
            expires_at: Millis(9),
        },
        ..Leases::default()
    };
    leases.apply(
        &"n9".into(),
        "jt/lead",
        Some(r#"{"leader":"n0","permit":7}"#),
        Revision(3),
    );
    leases.apply(
        &"n9".into(),
        "jt/block/a.0",
        Some(r#"{"holder":"n0","permit":7}"#),
        Revision(4),
    );
    leases.apply(
        &"n9".into(),
        "jt/block/a.1",
        Some(r#"{"holder":"n1","permit":8}"#),
        Revision(5),
    );
    let (n0, n1) = (ControllerId::from("n0"), ControllerId::from("n1"));
    let (a0, a1) = (
        ShardId::parse("a.0").unwrap(),
        ShardId::parse("a.1").unwrap(),
    );
    leases.drop_own_lease(&n0);
    assert_eq!(
        (leases.leadership_revision(&n0), leases.held_token(&a0, &n0)),
        (None, None)
    );
    assert_eq!(leases.held_token(&a1, &n1), Some(FencingToken(5)));
    assert_eq!(leases.own, OwnLease::None);
    // Later records of other controllers are applied as before.
    leases.apply(
        &"n9".into(),
        "jt/lead",
        Some(r#"{"leader":"n1","permit":8}"#),
        Revision(8),
    );
    assert_eq!(leases.leadership_revision(&n1), Some(Revision(8)));
    leases.drop_own_lease(&n0);
    assert_eq!(leases.leadership_revision(&n1), Some(Revision(8)));
}

#[test]
fn a_peer_supersedes_the_holder_only_with_a_higher_token() {
    let shard = ShardId::parse("a.0").unwrap();
    for (token, holder, taken) in [
        (3, "n1", false),
        (4, "n1", false),
        (9, "n1", true),
        (9, "n0", false),
    ] {
        let mut leases = Leases::default();
        leases.apply(
            &"n9".into(),
            "jt/block/a.0",
            Some(r#"{"holder":"n0","permit":7}"#),
            Revision(4),
        );
        let superseded = leases.supersede(&shard, &holder.into(), FencingToken(token));
        assert_eq!(superseded, taken, "token {token} of {holder}");
    }
}

/// A controller that was killed and restarted at once took itself for the leader and the holder of shards, at the
/// revisions of its previous process, until the old lease had been ended: it could have rented machines under names
/// that were in use, and answered workers under a fencing token that was not its own.
#[test]
fn leadership_and_shards_belong_to_the_process_that_acquired_them() {
    let self_id = ControllerId::from("n0");
    let shard = ShardId::parse("a.0").unwrap();
    let cases = [
        // own lease; holder and lease in the record; whether this process holds it, whether any holder is known
        (None, "n0", 7, false, false),
        (Some(8), "n0", 7, false, false),
        (Some(8), "n0", 8, true, true),
        (Some(8), "n1", 7, false, true),
        (None, "n1", 7, false, true),
    ];
    for (own, holder, lease_id, held_by_this_process, known) in cases {
        let mut leases = Leases::default();
        if let Some(lease_id) = own {
            leases.own = OwnLease::Held {
                lease_id: LeaseId(lease_id),
                expires_at: Millis(9),
            };
        }
        let leader_record = format!("{{\"leader\":\"{holder}\",\"permit\":{lease_id}}}");
        let shard_record = format!("{{\"holder\":\"{holder}\",\"permit\":{lease_id}}}");
        leases.apply(&self_id, LEADER_KEY, Some(&leader_record), Revision(3));
        leases.apply(
            &self_id,
            &shard_key(&shard),
            Some(&shard_record),
            Revision(4),
        );
        let case = format!("{own:?}, {holder} under {lease_id}");
        assert_eq!(
            leases.leadership_revision(&self_id).is_some(),
            held_by_this_process,
            "{case}"
        );
        assert_eq!(
            leases.held_token(&shard, &self_id).is_some(),
            held_by_this_process,
            "{case}"
        );
        assert_eq!(leases.leader.is_some(), known, "{case}");
        assert_eq!(leases.shards.contains_key(&shard), known, "{case}");
    }
}

/// A late message from a process that has ended could make silent machines look alive.
#[test]
fn a_process_has_ended_once_its_record_is_replaced_or_deleted() {
    let mut leases = Leases::default();
    let record = |lease_id| format!("{{\"permit\":{lease_id},\"zone\":\"a\",\"hears\":true}}");
    let steps = [
        // record, its version, leases that have ended by then
        (Some(record(3)), 5, vec![]),
        (Some(record(3)), 6, vec![]),
        (Some(record(4)), 7, vec![3]),
        (None, 8, vec![3, 4]),
        (Some(record(9)), 9, vec![3, 4]),
    ];
    for (data, version, ended) in steps {
        let (key, version) = (controller_key(&"n1".into()), Revision(version));
        leases.apply(&"n0".into(), &key, data.as_deref(), version);
        let found: Vec<u64> = (1..12).filter(|p| leases.has_ended(LeaseId(*p))).collect();
        assert_eq!(found, ended, "at {version:?}");
    }
}

/// Guards against a raised token that is taken for a change of the holder, or the other way round.
#[test]
fn a_raised_token_continues_its_holders_tenure() {
    let shard = ShardId::parse("a.0").unwrap();
    let record = |holder: &str, acquired: Option<u64>| {
        let acquired = acquired.map(FencingToken);
        let (holder, lease_id) = (holder.into(), LeaseId(7));
        let record = ShardRecord {
            holder,
            lease_id,
            acquired,
        };
        serde_json::to_string(&record).unwrap()
    };
    let token = Some(LeaseChange::Token(shard.clone()));
    let holder = Some(LeaseChange::Shard(shard.clone()));
    let steps = [
        // record, its version, the change, token under which the shard was acquired
        (record("n1", None), 5, holder.clone(), 5),
        (record("n1", Some(5)), 8, token.clone(), 5),
        (record("n1", Some(5)), 8, None, 5),
        (record("n1", Some(5)), 11, token, 5),
        (record("n1", None), 14, holder.clone(), 14),
        (record("n2", None), 17, holder.clone(), 17),
        // Steps in between were not seen.
        (record("n1", Some(20)), 24, holder, 20),
    ];
    let mut leases = Leases::default();
    for (record, version, expected, acquired) in steps {
        let (key, token) = (shard_key(&shard), FencingToken(version));
        let change = leases.apply(&"n0".into(), &key, Some(&record), Revision(version));
        assert_eq!(change, expected, "at {version}");
        let tenure = Tenure {
            acquired: FencingToken(acquired),
            token,
        };
        assert_eq!(leases.shards[&shard].tenure, tenure, "at {version}");
    }
    // A peer's message shows the token alone; the record completes the tenure.
    let (key, version) = (shard_key(&shard), 30);
    assert!(leases.supersede(&shard, &"n3".into(), FencingToken(version)));
    let raised = record("n3", Some(27));
    let change = leases.apply(&"n0".into(), &key, Some(&raised), Revision(version));
    assert_eq!(change, None);
    assert_eq!(leases.shards[&shard].tenure.acquired, FencingToken(27));
}
