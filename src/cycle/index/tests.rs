use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;

fn resources(gpus: f64) -> Resources {
    Resources {
        cpus: gpus * 10.0,
        gpus,
        memory_gb: gpus * 60.0,
    }
}

fn entry(rng: &mut SmallRng) -> IndexEntry {
    let zone = Zone::from(["a", "b"][rng.random_range(0..2)]);
    let images = (0..4).filter(|_| rng.random_bool(0.4));
    let images = images.map(|i| Image::from(format!("img-{i}"))).collect();
    IndexEntry {
        group: MachineGroup {
            own: rng.random_bool(0.5),
            shard: ShardId {
                zone,
                index: rng.random_range(0..2),
            },
            machine_type: "g8".into(),
            spot: rng.random_bool(0.5),
        },
        level: CapacityLevel::new(
            resources(f64::from(rng.random_range(0..9))),
            Resources::default(),
            rng.random_range(0..2),
        ),
        images,
    }
}

/// After any sequence of changes, a lookup finds exactly what a scan of all machines finds.
#[test]
fn lookups_match_a_full_scan() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut index = CapacityIndex::default();
        let mut all: BTreeMap<MachineId, IndexEntry> = BTreeMap::new();
        for _ in 0..400 {
            let machine_id = MachineId::from(format!("vm-{}", rng.random_range(0..60)));
            if rng.random_bool(0.3) {
                index.remove(&machine_id);
                all.remove(&machine_id);
            } else {
                let entry = entry(&mut rng);
                index.update(&machine_id, entry.clone());
                all.insert(machine_id, entry);
            }
        }
        assert_eq!(index.len(), all.len());
        let groups: BTreeSet<&MachineGroup> = index.groups().collect();
        let expected: BTreeSet<&MachineGroup> = all.values().map(|entry| &entry.group).collect();
        assert_eq!(groups, expected);
        for group in groups {
            for wanted in [
                resources(0.0),
                resources(1.0),
                resources(5.0),
                resources(8.0),
            ] {
                let scan = |image: Option<&Image>, fits: bool| -> BTreeSet<&MachineId> {
                    let found = all.iter().filter(|(_, entry)| {
                        entry.group == *group
                            && image.is_none_or(|image| entry.images.contains(image))
                            && wanted.fits_in(entry.level.available()) == fits
                    });
                    found.map(|(machine_id, _)| machine_id).collect()
                };
                let any: BTreeSet<&MachineId> = index
                    .fitting(ImageFilter::Any, group, wanted)
                    .flat_map(|class| class.machine_ids)
                    .collect();
                assert_eq!(any, scan(None, true));
                let image = Image::from("img-1");
                let cached: BTreeSet<&MachineId> = index
                    .fitting(ImageFilter::Image(&image), group, wanted)
                    .flat_map(|class| class.machine_ids)
                    .collect();
                assert_eq!(cached, scan(Some(&image), true));
                let full: BTreeSet<&MachineId> = index
                    .too_full(group, wanted)
                    .flat_map(|class| class.machine_ids)
                    .collect();
                assert_eq!(full, scan(None, false));
                assert_eq!(index.any_too_full(group, wanted), !full.is_empty());
            }
        }
    }
}

/// Sums of decimal amounts that differ only in their last bits are one level.
#[test]
fn rounding_errors_create_no_extra_levels() {
    let level = |gpus: f64| CapacityLevel::new(resources(gpus), Resources::default(), 0);
    let cases = [
        (0.1 + 0.2, 0.3, true),
        (1.0 - 0.9 - 0.1, 0.0, true),
        (0.3, 0.301, false),
    ];
    for (left, right, same) in cases {
        assert_eq!(level(left) == level(right), same, "{left} and {right}");
    }
}
