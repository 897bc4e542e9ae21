//! Decoding of the platform's settings (JSON), the operator's settings and the quota tree (INI).

use std::path::Path;

use hierarchical_quota::TreeSpec;
use jaspertiller::settings::{OperatorSettings, Settings};
use jaspertiller::types::Millis;

/// The platform's settings with every field set, each to a different number.
pub(crate) fn settings() -> Settings {
    Settings::parse("settings.json", include_str!("fixtures/settings.json")).unwrap()
}

#[test]
fn platform_settings() {
    let read = settings();
    assert_eq!(read.label.as_str(), "n0");
    assert_eq!(read.zone.as_str(), "a");
    assert_eq!(read.public_addr.to_string(), "10.0.0.1:8080");
    assert_eq!(read.peer_bind.to_string(), "10.0.0.1:8081");
    let members = read.members.iter();
    let members: Vec<String> = members
        .map(|m| format!("{} {} {}", m.label, m.zone, m.address))
        .collect();
    assert_eq!(members, ["n1 b 10.0.0.2:8082", "n2 c 10.0.0.3:8083"]);
    assert_eq!(read.endpoints.cloud.to_string(), "10.2.0.2:8084");
    assert_eq!(read.endpoints.store.to_string(), "10.2.0.1:8085");
    let deployment = &read.deployment;
    assert_eq!(deployment.count, 3);
    let zones: Vec<&str> = deployment.zones.iter().map(|z| z.as_str()).collect();
    assert_eq!(zones, ["a", "b", "c"]);
    let teams: Vec<_> = deployment
        .teams
        .iter()
        .map(|t| (t.name.as_str(), [t.cpus, t.cpus_max, t.gpus, t.gpus_max]))
        .collect();
    let expected = [
        ("kigali-slotting", [100.5, 201.0, 8.0, 48.0]),
        ("kigali-forecast", [0.0, 0.0, 0.0, 0.0]),
        ("huye-slotting", [0.0, 300.0, 2.0, 40.0]),
    ];
    assert_eq!(teams, expected);
    let found = read.team(&"huye-slotting".into()).map(|t| t.cpus_max);
    assert_eq!(found, Some(300.0));
    let objectives: Vec<_> = deployment
        .objectives
        .iter()
        .map(|o| (o.kind.as_str(), o.class.as_deref(), o.within_s, o.share))
        .collect();
    let expected = [
        (
            "first_start",
            Some("nightly-batch"),
            Some(61.5),
            Some(0.995),
        ),
        ("cost", None, None, None),
    ];
    assert_eq!(objectives, expected);
    let w = &deployment.workers;
    let workers = [
        w.heartbeat_interval_s,
        w.lease_s,
        w.gang_wait_s,
        w.gang_peer_s,
        w.cancel_s,
    ];
    assert_eq!(workers, [3.5, 24.5, 35.5, 5.5, 44.5]);
    let state = &deployment.state;
    assert_eq!(
        [state.rps, state.write_rps, state.value_kb],
        [150.5, 50.5, 8.5]
    );
    assert_eq!(state.txn_ops, 12);
    assert_eq!(
        [deployment.cloud.rps, deployment.cloud.list_lag_s],
        [5.25, 10.25]
    );
    assert_eq!(
        [
            deployment.process_limits.cores,
            deployment.process_limits.mem_mb
        ],
        [0.24, 136.5]
    );
    assert_eq!(deployment.process_limits.sockets, 1_800);
    assert_eq!(deployment.clock_error_ms, 1_000.5);
    assert_eq!(read.operator, OperatorSettings::default());
    assert!(read.quota_tree.is_none());
}

/// Each key, set to a value other than its default.
#[test]
fn operator_settings() {
    let text = include_str!("fixtures/operator.ini");
    let expected = OperatorSettings {
        backoff_first: Millis(2_500),
        backoff_max: Millis(41_000),
        flush: Millis(45_500),
        lease: Millis(8_000),
        stop_before: Millis(2_250),
        shards_per_zone: 5,
        starts_per_token: 17,
        idle_return: Millis(33_000),
        partition_lease_keep: Millis(601_000),
        partitioned_zone_hold: Millis(91_000),
        quota_tree_file: Some("trees/quota.ini".into()),
    };
    assert_eq!(
        OperatorSettings::parse("operator.ini", text).unwrap(),
        expected
    );
}

/// The shipped file states the compiled defaults. They are repeated here, because settings that no
/// file overrides must not change either.
#[test]
fn shipped_settings_are_the_defaults() {
    let text = include_str!("../../deploy/jaspertiller.ini");
    let expected = OperatorSettings {
        backoff_first: Millis(1_000),
        backoff_max: Millis(10_000),
        flush: Millis(30_000),
        lease: Millis(5_000),
        stop_before: Millis(1_500),
        shards_per_zone: 2,
        starts_per_token: 32,
        idle_return: Millis(20_000),
        partition_lease_keep: Millis(900_000),
        partitioned_zone_hold: Millis(180_000),
        quota_tree_file: None,
    };
    assert_eq!(OperatorSettings::parse("f", text).unwrap(), expected);
    assert_eq!(OperatorSettings::default(), expected);
}

/// Paths in the operator's file are relative to its folder.
#[test]
fn settings_files_are_combined() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let fixtures = root.join("tests/wire_format/fixtures");
    let (platform, operator) = (
        fixtures.join("settings.json"),
        fixtures.join("operator-with-tree.ini"),
    );
    let read = Settings::read(&platform, Some(&operator)).unwrap();
    assert_eq!(read.operator.flush, Millis(45_000));
    let tree = read.quota_tree.expect("quota tree must be loaded");
    assert_eq!((tree.revision, tree.nodes.len()), (7, 3));
}

#[test]
fn quota_trees() {
    let read = |text| {
        let spec = TreeSpec::parse("f", text).unwrap();
        let nodes: Vec<String> = spec
            .nodes
            .iter()
            .map(|node| {
                let (parent, team) = (node.parent.as_deref(), node.team.as_deref());
                let amounts = [node.guarantee.to_array(), node.limit.to_array()];
                let (parent, team) = (parent.unwrap_or("-"), team.unwrap_or("-"));
                format!(
                    "{} in {parent} for {team} {amounts:?} x{}",
                    node.name, node.weight
                )
            })
            .collect();
        (spec.revision, spec.hold_s, spec.enabled, nodes)
    };
    let sample = read(include_str!("../../deploy/quota-tree.ini"));
    let nodes = [
        "association in - for - [[0.0, 64.0], [0.0, 96.0]] x1",
        "kigali-members in association for - [[0.0, 40.0], [0.0, 0.0]] x2",
        "huye-members in association for - [[0.0, 24.0], [0.0, 0.0]] x1",
        "kigali-slotting in kigali-members for kigali-slotting [[0.0, 24.0], [0.0, 0.0]] x1",
        "kigali-forecast in kigali-members for kigali-forecast [[0.0, 0.0], [0.0, 0.0]] x1",
        "huye-slotting in huye-members for huye-slotting [[0.0, 8.0], [0.0, 32.0]] x1",
    ];
    let nodes: Vec<String> = nodes.map(String::from).into();
    assert_eq!(sample, (1, 5.0, true, nodes));
    let every_key = read(include_str!("fixtures/quota-tree.ini"));
    let nodes = [
        "region in - for - [[400.5, 64.0], [900.0, 96.0]] x1",
        "slotting in region for kigali-slotting [[150.0, 24.0], [250.0, 32.0]] x2.5",
        "huye in region for huye-slotting [[0.0, 0.0], [0.0, 0.0]] x1",
    ];
    let nodes: Vec<String> = nodes.map(String::from).into();
    assert_eq!(every_key, (7, 12.5, true, nodes));
}
