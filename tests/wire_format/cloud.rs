//! Cloud API: requests as encoded, responses as decoded.

use jaspertiller::clock::Clock;
use jaspertiller::fleet::client::Cloud;
use jaspertiller::fleet::{CloudCall, CloudResponse, MachineStage, MachineTypeSpec, Offer};
use tokio::sync::mpsc;

use crate::Fixtures;
use crate::loopback::service;
use crate::settings::settings;

fn show_type_spec(type_spec: &MachineTypeSpec) -> String {
    let (resources, zones) = (type_spec.resources, &type_spec.zones);
    format!(
        "{} {}/{}/{} cache {} fetch {} price {} spot {} boot {} in {zones:?}",
        type_spec.id,
        resources.cpus,
        resources.gpus,
        resources.memory_gb,
        type_spec.cache_gb,
        type_spec.fetch_gb_per_s,
        type_spec.price,
        type_spec.spot_price,
        type_spec.boot_s,
    )
}

fn stage(stage: MachineStage) -> &'static str {
    match stage {
        MachineStage::Booting => "booting",
        MachineStage::Running => "running",
        MachineStage::Failed => "failed",
    }
}

/// A text form of a decoded response, to compare it with the expected one.
fn show(answer: &CloudResponse) -> String {
    match answer {
        CloudResponse::MachineTypes(type_specs) => {
            let shown: Vec<String> = type_specs.iter().map(show_type_spec).collect();
            format!("types: {}", shown.join("; "))
        }
        CloudResponse::Page { machines, more } => {
            let machines = machines.iter().map(|m| {
                let (stage, age) = (stage(m.stage), m.age.0);
                format!(
                    "{} {} {} {} {stage} {age} ms",
                    m.machine_id, m.machine_type, m.zone, m.spot
                )
            });
            let shown: Vec<String> = machines.collect();
            format!("page: {}; more {more}", shown.join("; "))
        }
        CloudResponse::Rented(machine_ids) => format!("rented {machine_ids:?}"),
        CloudResponse::NoCapacity => "no capacity".into(),
        CloudResponse::Deleted => "deleted".into(),
        CloudResponse::Failed => "failed".into(),
    }
}

/// Each call: the encoded request, and the decoded response of the answers fixture.
#[tokio::test]
async fn calls() {
    let requests = include_str!("fixtures/cloud-requests.txt");
    let mut requests = Fixtures::new("cloud-requests.txt", requests);
    let answers = include_str!("fixtures/cloud-answers.txt");
    let mut answers = Fixtures::new("cloud-answers.txt", answers);
    let list = |after: Option<&str>| CloudCall::List {
        after: after.map(Into::into),
    };
    let rent = |spot| CloudCall::Rent {
        request_id: "n1-41-7".into(),
        offer: Offer {
            machine_type: "g8".into(),
            zone: "a".into(),
            spot,
        },
        count: 5,
    };
    let delete = || CloudCall::Delete(vec!["vm-000231".into(), "vm-000232".into()]);
    let cases = [
        (
            "types",
            CloudCall::MachineTypes,
            "types: g8 96/8/768.5 cache 200 fetch 0.25 price 9.75 spot 3.125 boot 45.5 in [a, b]; \
             c16 16/0/64 cache 0 fetch 0 price 0.5 spot 0 boot 0 in []",
        ),
        ("types-nonsense", CloudCall::MachineTypes, "failed"),
        (
            "list",
            list(None),
            "page: vm-1 g8 a true booting 1500 ms; vm-2 c16 b false running 0 ms; \
             vm-3 c16 b false failed 90000 ms; more true",
        ),
        ("list-on", list(Some("vm-3")), "page: ; more false"),
        ("rent-spot", rent(true), "rented [vm-000231, vm-000232]"),
        ("rent", rent(false), "rented []"),
        ("rent-no-capacity", rent(false), "no capacity"),
        ("rent-not-now", rent(false), "failed"),
        ("delete", delete(), "deleted"),
        ("delete-failed", delete(), "failed"),
        ("over-the-limit", list(None), "failed"),
    ];
    let scripted = cases.iter().map(|(name, ..)| answers.text(name).into());
    let (address, mut received) = service(scripted.collect()).await;
    let mut settings = settings();
    settings.endpoints.cloud = address;
    // A rate limit high enough that no call waits.
    settings.deployment.cloud.rps = 1e6;
    let (sender, mut responses) = mpsc::unbounded_channel();
    let cloud = Cloud::start(&settings, Clock::start(), sender);
    for (tag, (name, call, expected)) in (0..).zip(cases) {
        cloud.send(tag, call);
        requests.check_encoded(name, &received.recv().await.unwrap());
        let answer = responses.recv().await.unwrap();
        answers.check(name, "tag", answer.tag, tag);
        let shown = show(&answer.response);
        answers.check(name, "decoded value differs", shown.as_str(), expected);
    }
    requests.finish();
    answers.finish();
}
