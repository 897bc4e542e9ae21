use super::*;

/// Serves `steps` units; a flow has requests while `has_requests` returns true. Returns the units
/// served to each flow.
fn simulate(
    floors: &mut Floors<u8>,
    steps: usize,
    flows: u8,
    has_requests: impl Fn(usize, u8) -> bool,
) -> Vec<usize> {
    let mut served = vec![0; usize::from(flows)];
    for step in 0..steps {
        let waiting: Vec<u8> = (0..flows)
            .filter(|flow| has_requests(step, *flow))
            .collect();
        // The lowest number has the highest priority.
        let Some(next) = floors.next(waiting.iter().map(|flow| (*flow, *flow))) else {
            continue;
        };
        served[usize::from(next)] += 1;
        floors.record_served(&next, 1.0, waiting);
    }
    served
}

#[test]
fn a_burst_at_top_priority_leaves_other_flows_their_floor() {
    let cases: [(f64, u8, [usize; 4]); 4] = [
        // guaranteed fraction, flows, minimum served of 1,000
        (0.0, 4, [1_000, 0, 0, 0]),
        (0.5, 4, [600, 120, 120, 120]),
        (0.5, 2, [740, 245, 0, 0]),
        (1.0, 4, [240, 240, 240, 240]),
    ];
    for (fraction, flows, minimum) in cases {
        let served = simulate(&mut Floors::equal(fraction), 1_000, flows, |_, _| true);
        for (flow, count) in served.iter().enumerate() {
            assert!(*count >= minimum[flow], "{fraction}: {served:?}");
        }
    }
}

#[test]
fn unused_capacity_is_lent_and_returned_on_demand() {
    // The second flow is idle in the first half.
    let has_requests = |step: usize, flow: u8| flow != 1 || step >= 500;
    let mut floors = Floors::equal(0.6);
    let first_half = simulate(&mut floors, 500, 3, has_requests);
    assert!(
        first_half[1] == 0 && first_half[0] + first_half[2] == 500,
        "{first_half:?}"
    );
    let after_return = simulate(&mut floors, 20, 3, |_, _| true);
    // It gets its floor and no credit for the time when it was idle.
    assert!((3..=5).contains(&after_return[1]), "{after_return:?}");
}

#[test]
fn floors_follow_weights_and_large_requests_are_charged_by_size() {
    let weight: fn(&u8) -> f64 = |flow| if *flow == 0 { 1.0 } else { 3.0 };
    let mut floors = Floors::weighted(1.0, weight);
    let mut units = [0.0, 0.0];
    for _ in 0..1_000 {
        let next = floors.next([(0u8, 0), (1u8, 1)]).unwrap();
        // The first flow's requests are large.
        let size = if next == 0 { 4.0 } else { 1.0 };
        units[usize::from(next)] += size;
        floors.record_served(&next, size, [0, 1]);
    }
    let fraction = units[1] / (units[0] + units[1]);
    assert!((0.6..0.8).contains(&fraction), "{fraction}");
}
