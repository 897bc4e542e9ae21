//! Duration of admission decisions by the number of teams and of controllers.

#![allow(
    missing_docs,
    reason = "criterion_group! makes a public function without a doc comment"
)]

use std::hint::black_box;

use admission_control::floors::Floors;
use admission_control::plan::{ControllerDemand, ControllerStatus, Demand, Plan};
use admission_control::slots::Slots;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const TEAMS: [usize; 3] = [4, 50, 1_000];
const CONTROLLERS: [usize; 3] = [3, 5, 9];

/// The distinct slots of this many teams; names beyond the bound on known names share slots.
fn slots(teams: usize) -> Vec<u16> {
    let names = || (0..teams).map(|n| format!("team-{n}"));
    let slots = Slots::new(names());
    let mut distinct: Vec<u16> = names().map(|name| slots.of(&name)).collect();
    distinct.sort_unstable();
    distinct.dedup();
    distinct
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("next and served");
    for teams in TEAMS {
        let flows = slots(teams);
        let mut floors = Floors::equal(0.5);
        group.bench_function(BenchmarkId::from_parameter(teams), |bencher| {
            bencher.iter(|| {
                let next = floors.next(flows.iter().map(|flow| (*flow, *flow)));
                floors.record_served(&next.unwrap_or(0), 1.0, flows.iter().copied());
                black_box(next)
            });
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("plan");
    for controllers in CONTROLLERS {
        let rows: Vec<ControllerDemand> = (0..controllers)
            .map(|n| {
                let demand = Demand {
                    used: n as f64,
                    waiting: 10.0,
                };
                ControllerDemand {
                    label: format!("controller-{n}"),
                    status: ControllerStatus::Current,
                    demand,
                }
            })
            .collect();
        let plan = Plan::default().next(35.0, &rows);
        group.bench_function(BenchmarkId::from_parameter(controllers), |bencher| {
            bencher.iter(|| black_box(plan.next(35.0, &rows)));
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
