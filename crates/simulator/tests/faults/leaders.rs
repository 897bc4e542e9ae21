//! Leaders that are replaced, and messages between controllers that are lost, doubled or late, while jobs keep
//! coming: the index of free room of every controller is right at each second, and work goes on.

use cluster_simulator::sim::{Cut, JobPlan, World, job};

use super::combined_faults::leader;
use super::{NODES, finish, world};

/// The trouble begins here.
const AT: u64 = 40_000;
/// The index is compared with a recount until then.
const UNTIL: u64 = 100_000;

/// What shows that the meeting took place, and how often it was seen.
type Seen = Vec<(&'static str, u64)>;

struct Row {
    name: &'static str,
    play: fn(&mut World) -> Seen,
}

/// Jobs come all the time.
fn stream() -> impl Iterator<Item = JobPlan> {
    (100..160).map(|index| {
        let kind = ["sweep", "gang", "sweep"][index % 3];
        let mut plan = job(index, "large", kind, 2, 1.0, 4_000);
        plan.at = Some(20_000 + 1_200 * (index as u64 - 100));
        plan
    })
}

/// Lets time pass, and compares the index once a second, at other moments each time.
fn watch(world: &mut World, until: u64, name: &str) -> u64 {
    let mut checks = 0;
    while world.now < until {
        world.run_until((world.now + 970).min(until));
        let drift = world.index_drift();
        assert!(drift.is_empty(), "{name} at {}: {drift:?}", world.now);
        checks += 1;
    }
    checks
}

/// A controller that is there and isn't heard, and hears everything late.
fn frozen(node: usize, for_ms: u64) -> Cut {
    Cut {
        node,
        from_store: true,
        from_workers: true,
        from_peers: true,
        since: AT,
        until: AT + for_ms,
        hold: true,
    }
}

const ROWS: &[Row] = &[
    Row {
        name: "the leader is killed",
        play: |w| {
            let old = leader(w);
            w.crash(old, AT + 1, 25_000);
            w.run_until(AT + 9_000);
            let starts = w.rules.starts;
            w.run_until(AT + 24_000);
            vec![
                ("another leads", u64::from(leader(w) != old)),
                ("starts under it", w.rules.starts - starts),
            ]
        },
    },
    Row {
        name: "the leader is frozen past its lease and goes on",
        play: |w| {
            let old = leader(w);
            w.cuts.push(frozen(old, 9_000));
            w.run_until(AT + 8_500);
            let replaced = leader(w) != old;
            w.run_until(AT + 20_000);
            vec![
                ("another leads", u64::from(replaced)),
                ("it is there again", u64::from(w.nodes[old].is_some())),
            ]
        },
    },
    Row {
        name: "leaders are replaced twice within seconds",
        play: |w| {
            let first = leader(w);
            w.crash(first, AT + 1, 20_000);
            w.run_until(AT + 7_000);
            let second = leader(w);
            w.crash(second, w.now + 1, 20_000);
            w.run_until(AT + 16_000);
            let third = leader(w);
            vec![
                ("a second leads", u64::from(second != first)),
                (
                    "a third leads",
                    u64::from(third != second && third != first),
                ),
            ]
        },
    },
    Row {
        name: "messages between controllers are lost, doubled and late",
        play: |w| {
            w.peer_copies = Some((0.5, 500..15_000));
            w.slow_links = Some(0..900);
            let lost = Cut {
                from_store: false,
                from_workers: false,
                hold: false,
                ..frozen(leader(w), 6_000)
            };
            w.cuts.push(lost);
            w.run_until(AT + 30_000);
            vec![("copies", w.peer_copies_sent)]
        },
    },
    Row {
        name: "all controllers are restarted, one after the other",
        play: |w| {
            let old = leader(w);
            let order = (0..NODES).map(|step| (old + step) % NODES);
            for (step, node) in order.enumerate() {
                w.crash(node, AT + 1 + 4_000 * step as u64, 1_500);
            }
            let starts = w.rules.starts;
            w.run_until(AT + 26_000);
            vec![("starts meanwhile", w.rules.starts - starts)]
        },
    },
    Row {
        name: "all controllers end at once, and one builds everything anew",
        play: |w| {
            (0..NODES).for_each(|node| w.crash(node, AT + 1, 3_000 + 400 * node as u64));
            let starts = w.rules.starts;
            w.run_until(AT + 20_000);
            vec![("starts after it", w.rules.starts - starts)]
        },
    },
];

#[test]
fn the_index_is_right_and_work_goes_on_whoever_leads() {
    for row in ROWS {
        let mut seen: Seen = Vec::new();
        for seed in 1..=2 {
            let mut world = world(seed);
            stream().for_each(|plan| world.submit(plan));
            // Services hold what is left of their team's limit.
            [2, 10]
                .into_iter()
                .for_each(|index| world.abort_at(60_000, index));
            let name = format!("{} (seed {seed})", row.name);
            assert!(watch(&mut world, AT, &name) > 20);
            for (what, count) in (row.play)(&mut world) {
                match seen.iter_mut().find(|(known, _)| *known == what) {
                    Some((_, sum)) => *sum += count,
                    None => seen.push((what, count)),
                }
            }
            assert!(watch(&mut world, UNTIL, &name) > 20);
            finish(&mut world, &name);
        }
        for (what, count) in seen {
            assert!(
                count >= 2,
                "{}: {what} was seen {count} times only",
                row.name
            );
        }
    }
}
