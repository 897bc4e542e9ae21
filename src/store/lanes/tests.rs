use super::*;

fn lanes() -> Lanes<u32> {
    let limits = StoreLimits {
        rps: 1_000.0,
        write_rps: 20.0,
        value_kb: 8.0,
        txn_ops: 20,
    };
    let mut lanes = Lanes::new(&limits, 1, Millis(0));
    lanes.set_write_rate(20.0, Millis(0));
    lanes
}

/// Simulates some seconds in steps of a tenth; `enqueue` pushes the calls of each step. Returns the class of each call
/// made, and how long it was queued.
fn simulate(
    seconds: u64,
    mut enqueue: impl FnMut(&mut Lanes<u32>, Millis),
) -> Vec<(CallClass, Millis)> {
    let mut lanes = lanes();
    let mut started = Vec::new();
    for tenth in 0..seconds * 10 {
        let now = Millis(tenth * 100);
        enqueue(&mut lanes, now);
        loop {
            match lanes.next(now) {
                NextCall::Start(call) => {
                    started.push((call.class, Millis(now.0 - call.enqueued_at.0)))
                }
                NextCall::Refuse(_) => {}
                NextCall::Wait(_) | NextCall::Nothing => break,
            }
        }
    }
    started
}

/// When calls of users always precede the others, no job is placed during a burst of submissions, and a quota
/// allocation, which is several writes at once, waits for 15 s.
#[test]
fn a_burst_of_one_class_leaves_the_others_their_guaranteed_part() {
    let started = simulate(20, |lanes, now| {
        for n in 0..10 {
            lanes.push(CallClass::Submissions, 1.0, n, now);
        }
        lanes.push(CallClass::Jobs, 1.0, 0, now);
        if now.0 % 4_000 == 0 {
            lanes.push(CallClass::Coordination, 6.0, 0, now);
        }
    });
    let count = |class| started.iter().filter(|(c, _)| *c == class).count();
    assert!(count(CallClass::Jobs) > 110, "{}", count(CallClass::Jobs));
    assert!(count(CallClass::Submissions) > 100);
    let coordination = started
        .iter()
        .filter(|(c, _)| *c == CallClass::Coordination);
    let waited: Vec<Millis> = coordination.map(|(_, waited)| *waited).collect();
    assert!(
        waited.len() == 5 && waited.iter().all(|w| w.0 < 3_500),
        "{waited:?}"
    );
}

/// The read barrier of a poll must not queue behind submissions that wait for the write rate, which it does not need.
#[test]
fn read_barriers_do_not_wait_for_writes() {
    let started = simulate(5, |lanes, now| {
        for n in 0..20 {
            lanes.push(CallClass::Submissions, 1.0, n, now);
        }
        lanes.push(CallClass::ReadBarriers, 0.0, 0, now);
    });
    let read_barriers = started
        .iter()
        .filter(|(class, _)| *class == CallClass::ReadBarriers);
    assert_eq!(
        read_barriers.filter(|(_, waited)| waited.0 == 0).count(),
        50
    );
}
