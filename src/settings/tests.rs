use super::*;
use crate::types::Millis;
use serde_json::{Value, json};

pub(crate) fn settings() -> Value {
    json!({"label": "n0", "zone": "a", "public_addr": "10.0.0.1:80", "peer_bind": "10.0.0.1:81",
        "members": [{"label": "n1", "zone": "b", "address": "10.0.0.2:81"}],
        "outside": {"cloud": "10.2.0.2:1", "state": "10.2.0.1:1"}, "new": "ignored",
        "deployment": {"count": 2, "zones": ["a"], "teams": [], "objectives": [],
            "workers": {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 35.0,
                "gang_peer_s": 5.0, "cancel_s": 44.0},
            "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 5.0, "list_lag_s": 10.0},
            "quota": {"cores": 0.24, "mem_mb": 136.0, "sockets": 1800},
            "clock_error_ms": 1000.0}})
}

#[test]
fn an_invalid_field_of_the_platform_file_is_named_in_the_error() {
    assert!(Settings::parse("f", &settings().to_string()).is_ok());
    let cases = [
        (
            "/deployment/workers/lease_s",
            json!(-1.0),
            "deployment.workers.lease_s",
        ),
        (
            "/deployment/workers/lease_s",
            json!("x"),
            "deployment.workers.lease_s",
        ),
        ("/deployment/zones", json!([]), "deployment.zones"),
        (
            "/deployment/state/txn_ops",
            json!(1),
            "deployment.state.txn_ops",
        ),
        ("/members/0/address", json!("nowhere"), "members[0].address"),
        ("/members/0/label", json!("n0"), "members"),
        ("/public_addr", Value::Null, "public_addr"),
        (
            "/deployment/quota",
            json!({"cores": 1.0, "sockets": 1}),
            "deployment.quota.mem_mb",
        ),
        ("/outside", json!({}), "outside.cloud"),
    ];
    for (path, value, field) in cases {
        let mut changed = settings();
        *changed.pointer_mut(path).unwrap() = value;
        let error = Settings::parse("f.json", &changed.to_string())
            .unwrap_err()
            .to_string();
        assert!(error.starts_with(&format!("f.json: {field}: ")), "{error}");
    }
}

#[test]
fn an_invalid_field_of_the_operator_file_is_named_in_the_error() {
    let shipped = include_str!("../../deploy/jaspertiller.ini");
    assert_eq!(
        OperatorSettings::parse("f", shipped).unwrap(),
        OperatorSettings::default()
    );
    let flush = OperatorSettings::parse("f", "[queue]\nflush_s = 45\n")
        .unwrap()
        .flush;
    assert_eq!(flush, Millis(45_000));
    let cases = [
        ("[quue]\nflush_s = 1\n", "[quue]"),
        ("[queue]\nflush = 1\n", "[queue] flush"),
        ("[queue]\nflush_s = soon\n", "[queue] flush_s"),
        ("[queue]\nflush_s = 0\n", "[queue] flush_s"),
        ("[queue]\nbackoff_first_s = 20\n", "[queue] backoff_most_s"),
        ("[lease]\nlease_s = 2\n", "[lease] stop_before_s"),
        (
            "[lease]\nstarts_per_token = 0\n",
            "[lease] starts_per_token",
        ),
        (
            "[lease]\nstarts_per_token = 201\n",
            "[lease] starts_per_token",
        ),
        ("flush_s = 1\n", "[] flush_s"),
        ("[quota]\ntree =\n", "[quota] tree"),
        ("[quota]\nforest = x\n", "[quota] forest"),
    ];
    for (text, field) in cases {
        let error = OperatorSettings::parse("f.ini", text)
            .unwrap_err()
            .to_string();
        assert!(error.starts_with(&format!("f.ini: {field}: ")), "{error}");
    }
}

/// The sample in `deploy` is valid for the teams that it names. A tree that does not match the platform's teams or
/// limits is rejected with an error that names the file and the field.
#[test]
fn the_quota_tree_is_checked_against_the_platform() {
    let sample = include_str!("../../deploy/quota-tree.ini");
    let team = |name: &str, gpus: f64| json!({"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": 0.0});
    let names = ["kigali-slotting", "kigali-forecast", "huye-slotting"];
    let platform = |teams: Vec<Value>, value_kb: f64| {
        let mut changed = settings();
        changed["deployment"]["teams"] = json!(teams);
        changed["deployment"]["state"]["value_kb"] = json!(value_kb);
        Settings::parse("f", &changed.to_string()).unwrap()
    };
    let matching_teams = names.iter().map(|name| team(name, 0.0)).collect();
    let mut valid = platform(matching_teams, 8.0);
    valid.load_quota_tree("tree.ini", sample).unwrap();
    assert!(valid.tree_notes.is_empty(), "{:?}", valid.tree_notes);
    assert!(
        valid
            .summary()
            .contains("tree of quotas           revision 1, 6 nodes")
    );
    let cases = [
        (
            vec![team("huye-slotting", 9.0)],
            8.0,
            "[node huye-slotting] gpus",
        ),
        (vec![team("#x", 0.0)], 8.0, "team #x"),
        (vec![], 0.1, "[node ...] gpus_max, cpus_max"),
    ];
    for (teams, value_kb, field) in cases {
        let error = platform(teams, value_kb).load_quota_tree("tree.ini", sample);
        let error = error.unwrap_err().to_string();
        assert!(
            error.starts_with(&format!("tree.ini: {field}: ")),
            "{error}"
        );
    }
}
