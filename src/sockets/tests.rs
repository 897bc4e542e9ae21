use super::*;
use crate::types::Millis;

fn table(max_connections: usize) -> ConnectionTable<u32> {
    ConnectionTable::new(
        max_connections,
        IdleTimeouts::for_heartbeats_every(Millis(5_000)),
    )
}

fn open(table: &mut ConnectionTable<u32>, keys: std::ops::Range<u32>, class: ConnectionClass) {
    for key in keys {
        assert!(table.admits(), "connection {key}");
        table.opened(key, Millis(0));
        table.request_started(key, class, Millis(0));
        table.request_finished(key, Millis(0));
    }
}

/// Without a bound on all sockets together, a controller that holds all shards reaches the limit of the process, and
/// the operating system refuses connections of workers, users and the store alike.
#[test]
fn all_socket_limits_together_stay_below_the_platform_limit() {
    for (sockets, peers) in [(40, 0), (64, 2), (300, 2), (1_800, 2), (3_352, 8)] {
        let budget = SocketBudget::new(sockets, peers);
        // Adds outgoing connections to peers, and calls in flight to the store and the cloud.
        let all =
            budget.server + budget.direct + budget.peers + peers + budget::RESERVED_SOCKETS / 2;
        assert!(all * 10 <= sockets * 9, "{sockets}: {budget:?}");
    }
}

#[test]
fn user_connections_are_evicted_before_workers_at_the_limit() {
    let mut table = table(100);
    open(&mut table, 0..64, ConnectionClass::Heartbeat);
    assert_eq!(table.pressure(), ConnectionPressure::default());
    open(&mut table, 100..101, ConnectionClass::User);
    let tight = table.pressure();
    assert!(tight.closes(ConnectionClass::User) && !tight.closes(ConnectionClass::Heartbeat));
    open(&mut table, 64..75, ConnectionClass::Heartbeat);
    assert!(table.pressure().closes(ConnectionClass::Heartbeat));
    assert!(!table.pressure().closes(ConnectionClass::Probe) && !table.pressure().users_full);
    let mut table = super::tests::table(100);
    open(&mut table, 0..41, ConnectionClass::User);
    assert!(table.pressure().users_full);
    table.closed(7);
    table.request_started(8, ConnectionClass::Heartbeat, Millis(1));
    assert!(!table.pressure().users_full);
}

/// Half-open connections, and clients that send one byte per second, must not occupy all connections or keep theirs for
/// long.
#[test]
fn connections_without_a_request_are_bounded_in_number_and_time() {
    let mut table = table(100);
    for key in 0..30 {
        assert!(table.admits());
        table.opened(key, Millis(0));
    }
    assert!(!table.admits());
    table.request_started(0, ConnectionClass::Heartbeat, Millis(4_000));
    assert!(table.admits());
    let cases = [(5_000, 0), (5_001, 29), (33_000, 29), (34_001, 30)];
    for (at, idle) in cases {
        assert_eq!(table.idle(Millis(at)).len(), idle, "at {at}");
    }
    table.request_finished(0, Millis(10_000));
    assert_eq!(table.idle(Millis(35_000)).len(), 29);
    assert_eq!(table.idle(Millis(35_001)).len(), 30);
}

#[test]
fn idle_user_connections_are_evicted_first_when_full() {
    let mut table = table(100);
    open(&mut table, 0..20, ConnectionClass::User);
    open(&mut table, 20..84, ConnectionClass::Heartbeat);
    assert!(table.idle(Millis(7_000)).is_empty());
    open(&mut table, 84..100, ConnectionClass::Heartbeat);
    assert!(!table.admits());
    let mut idle = table.idle(Millis(7_000));
    idle.sort();
    assert_eq!(idle, (0..20).collect::<Vec<_>>());
}
