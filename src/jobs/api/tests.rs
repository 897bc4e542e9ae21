use serde_json::{Value, json};

use super::*;
use crate::fleet::MachineTypeSpec;
use crate::settings::Settings;
use crate::types::{Resources, Zone};

pub(crate) fn body() -> Value {
    json!({"id":"job-000412","lot":"train","crew":"vision","shape":"gang","rank":"urgent",
        "picks":16,"vcpus":8.0,"accelerators":1.0,"memoryGb":64.0,"kit":"img-07","sizeGb":6.2,
        "rigs":["g8"],"yard":null,"oneZone":true,"spread":false,"loaners":true,
        "expectS":240.0,"markS":30.0,"stashS":4.0,"dueS":900.0,"later":"ignored"})
}

fn malformed(rejected: &RejectedSubmission) -> bool {
    matches!(rejected.reason, RejectionReason::Malformed(_))
}

#[test]
fn malformed_submissions_are_rejected_and_valid_ones_accepted() {
    let cases: &[(&str, Value, bool)] = &[
        ("rank", json!("urgent"), true),
        ("yard", json!("a"), true),
        ("rigs", Value::Null, true),
        ("dueS", Value::Null, true),
        ("vcpus", json!(0), true),
        ("picks", json!(100_000), true),
        ("id", json!("job-"), false),
        ("id", json!("task-1"), false),
        ("id", json!("job-1/2"), false),
        ("id", json!(7), false),
        ("picks", json!(0), false),
        ("picks", json!(100_001), false),
        ("picks", json!(1.5), false),
        ("picks", json!("3"), false),
        ("vcpus", json!(-1.0), false),
        ("vcpus", json!(1e300), false),
        ("memoryGb", json!("big"), false),
        ("shape", json!("ring"), false),
        ("rank", json!("top"), false),
        ("oneZone", json!(1), false),
        ("kit", json!(""), false),
        ("crew", json!("x".repeat(300)), false),
    ];
    for (field, value, valid) in cases {
        let mut job = body();
        job[*field] = value.clone();
        let parsed = parse(job.to_string().as_bytes());
        assert_eq!(parsed.is_ok(), *valid, "{field} = {value}: {parsed:?}");
    }
    for field in ["id", "lot", "crew", "picks", "kit", "spread", "markS"] {
        let mut job = body();
        job.as_object_mut().unwrap().remove(field);
        let parsed = parse(job.to_string().as_bytes());
        assert!(
            matches!(&parsed, Err(rejected) if malformed(rejected)),
            "without {field}"
        );
    }
    for text in ["", "[]", "7", "{", "null", "{\"id\":\"job-1\"}"] {
        assert!(
            matches!(parse(text.as_bytes()), Err(rejected) if malformed(&rejected)),
            "{text}"
        );
    }
    let oversized = format!("{{\"x\":\"{}\"}}", "y".repeat(MAX_BODY_BYTES));
    assert!(matches!(parse(oversized.as_bytes()), Err(rejected) if malformed(&rejected)));
}

/// An invalid field gives 400 with its name; nullable fields may be omitted.
#[test]
fn every_invalid_field_is_named_in_the_error() {
    let numbers = [
        "vcpus",
        "accelerators",
        "memoryGb",
        "sizeGb",
        "expectS",
        "markS",
        "stashS",
    ];
    let names = ["id", "lot", "crew", "shape", "rank", "kit"];
    let booleans = ["oneZone", "spread", "loaners"];
    let nullable = ["rigs", "yard", "dueS"];
    let pairs_of = |fields: &[&'static str], values: &[Value]| {
        let pairs = fields
            .iter()
            .flat_map(|f| values.iter().map(move |v| (*f, v.clone())));
        pairs.collect::<Vec<_>>()
    };
    let not_scalar = [json!(null), json!([]), json!({})];
    let mut invalid = pairs_of(&numbers, &not_scalar);
    invalid.extend(pairs_of(
        &numbers,
        &[json!("8"), json!(-0.5), json!(1e13), json!(true)],
    ));
    invalid.extend(pairs_of(&names, &not_scalar));
    invalid.extend(pairs_of(&names, &[json!(""), json!(3), json!(true)]));
    invalid.extend(pairs_of(&booleans, &not_scalar));
    invalid.extend(pairs_of(&booleans, &[json!("true"), json!(0)]));
    invalid.extend(pairs_of(&["picks"], &not_scalar));
    let counts = [
        json!(-1),
        json!(0),
        json!(2.5),
        json!("2"),
        json!(1u64 << 40),
    ];
    invalid.extend(pairs_of(&["picks"], &counts));
    invalid.extend(pairs_of(&["rigs"], &[json!("g8"), json!([7]), json!({})]));
    invalid.extend(pairs_of(&["yard"], &[json!(7), json!([])]));
    invalid.extend(pairs_of(&["dueS"], &[json!("9"), json!(-1.0)]));
    for (field, value) in invalid {
        let mut job = body();
        job[field] = value.clone();
        let rejected = parse(job.to_string().as_bytes()).expect_err(field);
        let RejectionReason::Malformed(reason) = &rejected.reason else {
            panic!("{field} = {value}: {rejected:?}");
        };
        assert!(reason.contains(field), "{field} = {value}: {reason}");
        let expected_id = (field != "id").then(|| "job-000412".into());
        assert_eq!(rejected.id, expected_id, "{field} = {value}");
    }
    let all = [&numbers[..], &names, &booleans, &["picks"], &nullable].concat();
    assert_eq!(all.len(), 20, "the number of fields in the protocol");
    for field in all {
        let mut job = body();
        let value = job.as_object_mut().unwrap().remove(field).unwrap();
        let without = parse(job.to_string().as_bytes());
        let named = |rejected: &RejectedSubmission| matches!(&rejected.reason, RejectionReason::Malformed(reason) if reason.contains(field));
        if nullable.contains(&field) {
            assert!(without.is_ok(), "without {field}: {without:?}");
        } else {
            assert!(
                without.as_ref().is_err_and(named),
                "without {field}: {without:?}"
            );
        }
        let text = body().to_string();
        let duplicated = format!("{},\"{field}\":{value}}}", text.strip_suffix('}').unwrap());
        let duplicated = parse(duplicated.as_bytes());
        assert!(
            duplicated.as_ref().is_err_and(named),
            "two of {field}: {duplicated:?}"
        );
    }
    let trailing = format!("{} 7", body());
    assert!(parse(trailing.as_bytes()).is_err_and(|rejected| malformed(&rejected)));
}

#[test]
fn jobs_that_can_never_run_are_distinguished_from_jobs_that_can_wait() {
    let mut settings = crate::settings::tests::settings();
    settings["deployment"]["teams"] = json!([{"name": "vision", "cpus": 0.0, "cpus_max": 0.0,
        "gpus": 0.0, "gpus_max": 16.0}]);
    let settings = Settings::parse("f", &settings.to_string()).unwrap();
    let type_spec = |id: &str, zones: &[&str], gpus: f64| MachineTypeSpec {
        id: id.into(),
        resources: Resources {
            cpus: 96.0,
            gpus,
            memory_gb: 768.0,
        },
        zones: zones.iter().map(|zone| Zone::from(*zone)).collect(),
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 10.0,
        spot_price: 4.0,
        boot_s: 30.0,
    };
    let type_specs = [
        type_spec("g8", &["a", "b"], 8.0),
        type_spec("c1", &["a"], 0.0),
    ];
    let cases: Vec<(Vec<(&str, Value)>, bool)> = vec![
        // changed fields, whether the job can ever run
        (vec![], true),
        (vec![("crew", json!("nobody"))], false),
        // The team's limit must admit one task of an array, and all tasks of other kinds.
        (vec![("picks", json!(17))], false),
        (
            vec![("picks", json!(17)), ("shape", json!("standing"))],
            false,
        ),
        (vec![("picks", json!(17)), ("shape", json!("sweep"))], true),
        (vec![("rigs", json!(["g9"]))], false),
        (vec![("rigs", json!([]))], false),
        (vec![("rigs", json!(["g9", "g8"]))], true),
        (vec![("yard", json!("c"))], false),
        (vec![("yard", json!("b"))], true),
        (vec![("vcpus", json!(97.0))], false),
        (vec![("accelerators", json!(8.5))], false),
        // Each constraint alone admits a machine type, all together none.
        (vec![("rigs", json!(["c1"]))], false),
        (
            vec![("rigs", json!(["c1"])), ("accelerators", json!(0.0))],
            true,
        ),
        (
            vec![
                ("rigs", json!(["c1"])),
                ("accelerators", json!(0.0)),
                ("yard", json!("b")),
            ],
            false,
        ),
        // At most half of the tasks may be in one zone, and only one zone is allowed.
        (vec![("spread", json!(true))], false),
        (
            vec![("spread", json!(true)), ("oneZone", json!(false))],
            true,
        ),
        (vec![("spread", json!(true)), ("picks", json!(1))], true),
        (
            vec![
                ("spread", json!(true)),
                ("oneZone", json!(false)),
                ("yard", json!("a")),
            ],
            false,
        ),
        (
            vec![("spread", json!(true)), ("shape", json!("sweep"))],
            true,
        ),
    ];
    for (changes, feasible) in cases {
        let mut job = body();
        for (field, value) in &changes {
            job[*field] = value.clone();
        }
        let (_, spec) = parse(job.to_string().as_bytes()).unwrap();
        let verdict = check_feasibility(spec, &settings, &type_specs);
        assert_eq!(verdict.is_ok(), feasible, "{changes:?}: {verdict:?}");
    }
}
