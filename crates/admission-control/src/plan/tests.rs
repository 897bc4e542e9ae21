use super::*;

fn controllers(rows: &[(ControllerStatus, f64, f64)]) -> Vec<ControllerDemand> {
    let rows = rows.iter().enumerate();
    rows.map(|(n, (status, used, waiting))| {
        let (used, waiting) = (*used, *waiting);
        ControllerDemand {
            label: format!("n{n}"),
            status: *status,
            demand: Demand { used, waiting },
        }
    })
    .collect()
}

fn shares(plan: &Plan) -> Vec<f64> {
    let rounded = |share: &f64| (share * 10.0).round() / 10.0;
    plan.shares.values().map(rounded).collect()
}

#[test]
fn shares_follow_demand_and_the_remainder_is_split_evenly() {
    use ControllerStatus::{Absent, Current};
    let cases = [
        (vec![(Current, 0.0, 0.0); 3], vec![10.0, 10.0, 10.0]),
        (
            // Each controller has a base of 3; one demands all capacity.
            vec![
                (Current, 0.0, 0.0),
                (Current, 0.0, 0.0),
                (Current, 9.0, 300.0),
            ],
            vec![3.0, 3.0, 24.0],
        ),
        (
            vec![
                (Current, 8.0, 0.0),
                (Current, 8.0, 0.0),
                (Current, 3.0, 0.0),
            ],
            vec![11.7, 11.7, 6.7],
        ),
        (
            vec![
                (Current, 5.0, 0.0),
                (Absent, 9.0, 90.0),
                (Current, 5.0, 0.0),
            ],
            vec![13.5, 3.0, 13.5],
        ),
    ];
    for (rows, expected) in cases {
        let rows = controllers(&rows);
        // After several plans the shares that had to fall first have fallen.
        let plan = (0..4).fold(Plan::default(), |plan, _| plan.next(30.0, &rows));
        assert_eq!(shares(&plan), expected, "{rows:?}");
    }
}

#[test]
fn a_share_rises_only_by_capacity_that_no_controller_can_use() {
    use ControllerStatus::{Absent, Current, Stale};
    let one_with_demand = |statuses: [ControllerStatus; 2]| {
        controllers(&[(statuses[0], 0.0, 0.0), (statuses[1], 10.0, 500.0)])
    };
    // The first controller has most of the capacity and no demand.
    let uneven = [("n0", 24.0), ("n1", 6.0)].map(|(n, share)| (n.to_string(), share));
    let plan = Plan {
        shares: uneven.clone().into(),
        upper_bounds: uneven.into(),
    };
    for (first, after) in [(Stale, 6.0), (Current, 6.0), (Absent, 25.5)] {
        let next = plan.next(30.0, &one_with_demand([first, Current]));
        assert_eq!(shares(&next)[1], after, "{first:?}");
        // The first controller releases capacity after reading the new plan.
        let released = next.next(30.0, &one_with_demand([Current, Current]));
        assert_eq!(shares(&released)[1], 25.5, "{first:?}");
        let unreported = next.next(30.0, &one_with_demand([Stale, Current]));
        assert_eq!(shares(&unreported)[1], after, "{first:?}");
    }
}

#[test]
fn small_differences_do_not_change_the_plan() {
    let row = |waiting| {
        controllers(&[
            (ControllerStatus::Current, 5.0, 0.0),
            (ControllerStatus::Current, 5.0, waiting),
        ])
    };
    let plan = Plan::default().next(30.0, &row(0.0));
    assert!(plan.differs_significantly(&Plan::default(), 30.0));
    assert!(
        !plan
            .next(30.0, &row(6.0))
            .differs_significantly(&plan, 30.0)
    );
    assert!(
        plan.next(30.0, &row(60.0))
            .differs_significantly(&plan, 30.0)
    );
}
