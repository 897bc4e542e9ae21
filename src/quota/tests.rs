use super::*;

/// Holders place as much as their allocations permit, and the leader observes this late while it
/// reallocates: the total usage must never exceed the limit.
#[test]
fn total_usage_stays_within_the_limit_with_a_stale_leader_view() {
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let team = TeamSettings {
            name: "a".into(),
            cpus: 0.0,
            cpus_max: 0.0,
            gpus: 0.0,
            gpus_max: [16.0, 80.0, 700.0][seed as usize % 3],
        };
        let task = Resources {
            gpus: 4.0,
            ..Resources::default()
        };
        let mut allocated = [0.0f64; 6];
        let mut used = [0.0f64; 6];
        let mut peak: f64 = 0.0;
        for _ in 0..300 {
            // The leader's view is newer than all allocations.
            let observed = used;
            let place = |rng: &mut SmallRng, used: &mut [f64; 6], allocated: &[f64; 6]| {
                for shard in 0..6 {
                    let resources = f64::from(rng.random_range(1..=4u8));
                    if rng.random_bool(0.6) && used[shard] + resources <= allocated[shard] {
                        used[shard] += resources;
                    } else if rng.random_bool(0.2) {
                        used[shard] = (used[shard] - resources).max(0.0);
                    }
                }
            };
            place(&mut rng, &mut used, &allocated);
            let shards: Vec<ShardAllocation> = (0..6)
                .map(|shard| ShardAllocation {
                    allocated: QuotaAllocation {
                        cpus: 0.0,
                        gpus: allocated[shard],
                    },
                    used: QuotaAllocation {
                        cpus: 0.0,
                        gpus: observed[shard],
                    },
                    leased: shard != 5,
                })
                .collect();
            if rng.random_bool(0.3) && covers(unallocated(&team, &shards), task) {
                // The leader places a task in a shard and raises its allocation by the same amount.
                let shard = rng.random_range(0..6);
                let resources = |gpus| Resources {
                    gpus,
                    ..Resources::default()
                };
                let raised = raised_allocation(
                    shards[shard].allocated,
                    resources(observed[shard]),
                    task,
                    ShardOwnership::Remote,
                );
                allocated[shard] = raised.gpus;
                used[shard] += 4.0;
            } else {
                for (shard, allocation) in allocate(&team, task, &shards).into_iter().enumerate() {
                    allocated[shard] = allocation.gpus;
                }
            }
            place(&mut rng, &mut used, &allocated);
            let sum: f64 = used.iter().sum();
            assert!(sum <= team.gpus_max + 1e-6, "seed {seed}: {used:?}");
            peak = peak.max(sum);
        }
        assert!(peak >= team.gpus_max * 0.5, "seed {seed}: {peak} at most");
    }
}

#[test]
fn limits_and_guarantees() {
    let team = |cpus, cpus_max, gpus, gpus_max| TeamSettings {
        name: "a".into(),
        cpus,
        cpus_max,
        gpus,
        gpus_max,
    };
    let resources = |cpus, gpus| Resources {
        cpus,
        gpus,
        memory_gb: 1e9,
    };
    let cases = [
        // team, usage, within the limit, within the guarantee
        (team(0.0, 0.0, 0.0, 0.0), resources(1e6, 1e6), true, false),
        (team(0.0, 0.0, 16.0, 48.0), resources(1e6, 16.0), true, true),
        (
            team(0.0, 0.0, 16.0, 48.0),
            resources(1.0, 17.0),
            true,
            false,
        ),
        (
            team(0.0, 0.0, 16.0, 48.0),
            resources(1.0, 48.5),
            false,
            false,
        ),
        (team(4.0, 8.0, 0.0, 0.0), resources(9.0, 0.0), false, false),
    ];
    for (team, used, limit, guarantee) in cases {
        assert_eq!(within_limit(used, &team), limit, "{used:?} of {team:?}");
        assert_eq!(
            within_guarantee(used, &team),
            guarantee,
            "{used:?} of {team:?}"
        );
    }
}
