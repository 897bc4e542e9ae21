//! User API: submissions as decoded, rejections, and responses as encoded.

use jaspertiller::fleet::MachineTypeSpec;
use jaspertiller::jobs::api::{self, JobStage, JobState, RejectionReason, Response};
use jaspertiller::jobs::{JobKind, JobSpec, PriorityClass};
use jaspertiller::types::Resources;

use crate::Fixtures;
use crate::loopback::{Reply, ask, server};
use crate::records::{bare_spec, full_spec, spec_of};
use crate::settings::settings;

/// `job status reason` of a response.
fn show(job: Option<&str>, why: &RejectionReason) -> String {
    let job = job.unwrap_or("unknown job");
    match why {
        RejectionReason::Malformed(reason) => format!("{job} 400 {reason}"),
        RejectionReason::Infeasible(reason) => format!("{job} 422 {reason}"),
    }
}

#[test]
fn submissions() {
    let mut fixtures = Fixtures::new("submissions.txt", include_str!("fixtures/submissions.txt"));
    let cases = [
        ("every-field", full_spec()),
        ("optional-fields-absent", bare_spec()),
        ("optional-fields-null", bare_spec()),
        ("unknown-field", bare_spec()),
        (
            "array-best-effort",
            spec_of(JobKind::Array, PriorityClass::BestEffort),
        ),
        ("gang-urgent", spec_of(JobKind::Gang, PriorityClass::Urgent)),
        (
            "service-critical",
            spec_of(JobKind::Service, PriorityClass::Critical),
        ),
    ];
    for (name, spec) in cases {
        match api::parse(fixtures.text(name).as_bytes()) {
            Ok((job, read)) => {
                fixtures.check(name, "job", job.as_str(), "job-000412");
                fixtures.check(name, "decoded value differs", read, spec);
            }
            Err(rejection) => fixtures.fail(name, format!("is rejected: {:?}", rejection.reason)),
        }
    }
    fixtures.finish();
}

/// Malformed submissions, and the response to each in the answers fixture.
#[test]
fn malformed_submissions() {
    let bodies = include_str!("fixtures/malformed-submissions.txt");
    let mut bodies = Fixtures::new("malformed-submissions.txt", bodies);
    let answers = include_str!("fixtures/malformed-submissions-answers.txt");
    let mut answers = Fixtures::new("malformed-submissions-answers.txt", answers);
    let names: Vec<&str> = bodies.texts.keys().copied().collect();
    for name in names {
        match api::parse(bodies.text(name).as_bytes()) {
            Ok(_) => bodies.fail(name, "is accepted".into()),
            Err(rejection) => {
                let job = rejection.id.as_ref().map(|id| id.as_str());
                answers.check_encoded(name, &show(job, &rejection.reason));
            }
        }
    }
    let large = " ".repeat(api::MAX_BODY_BYTES + 1);
    let rejection = api::parse(large.as_bytes()).unwrap_err();
    answers.check_encoded("too-large", &show(None, &rejection.reason));
    bodies.finish();
    answers.finish();
}

fn type_spec() -> MachineTypeSpec {
    MachineTypeSpec {
        id: "g8".into(),
        resources: Resources {
            cpus: 96.0,
            gpus: 8.0,
            memory_gb: 768.0,
        },
        cache_gb: 200.0,
        fetch_gb_per_s: 0.25,
        price: 9.0,
        spot_price: 3.0,
        boot_s: 45.0,
        zones: vec!["a".into()],
    }
}

/// Jobs that can never run.
#[test]
fn infeasible_submissions() {
    let answers = include_str!("fixtures/impossible-submissions-answers.txt");
    let mut fixtures = Fixtures::new("impossible-submissions-answers.txt", answers);
    let gang = |tasks| JobSpec {
        tasks,
        ..spec_of(JobKind::Gang, PriorityClass::Normal)
    };
    let cases = [
        (
            "no-such-team",
            JobSpec {
                team: "nobody".into(),
                ..bare_spec()
            },
        ),
        (
            "fits-no-machine",
            JobSpec {
                zone: Some("z".into()),
                ..bare_spec()
            },
        ),
        (
            "spread-in-one-zone",
            JobSpec {
                spread: true,
                ..gang(3)
            },
        ),
        ("over-the-limit", gang(21)),
    ];
    for (name, spec) in cases {
        match api::check_feasibility(spec, &settings(), &[type_spec()]) {
            Ok(_) => fixtures.fail(name, "is admitted".into()),
            Err(why) => fixtures.check_encoded(name, &show(Some("job-1"), &why)),
        }
    }
    // Unknown and duplicate machine types are dropped from the list.
    let listed = JobSpec {
        machine_types: Some(vec!["g8".into(), "g8".into(), "x1".into()]),
        ..bare_spec()
    };
    let admitted =
        api::check_feasibility(listed, &settings(), &[type_spec()]).map(|spec| spec.machine_types);
    assert_eq!(admitted, Ok(Some(vec!["g8".into()])));
    fixtures.finish();
}

fn state(stage: JobStage) -> Response {
    Response::State(JobState {
        id: "job-000412".into(),
        stage,
        done: 12,
        running: 7,
    })
}

#[tokio::test]
async fn responses() {
    let file = include_str!("fixtures/responses.txt");
    let mut fixtures = Fixtures::new("responses.txt", file);
    let (submit, poll) = ("POST /api/jobs", "GET /api/jobs/job-000412");
    let abort = "POST /api/jobs/job-000412/abort";
    let malformed = || Response::Malformed("picks: a \"quoted\" reason".into());
    let infeasible = || Response::Infeasible("crew: no team is called x".into());
    let cases = [
        ("accepted", submit, Response::Accepted("job-000412".into())),
        ("known", submit, state(JobStage::Running)),
        ("malformed", submit, malformed()),
        ("never-runs", submit, infeasible()),
        ("not-now", submit, Response::retry_soon()),
        ("queued", poll, state(JobStage::Queued)),
        ("running", poll, state(JobStage::Running)),
        ("done", poll, state(JobStage::Done)),
        ("aborted", poll, state(JobStage::Aborted)),
        ("unknown", poll, Response::UnknownJob),
        ("poll-not-now", poll, Response::RetryAfter(7)),
        ("abort-done", abort, state(JobStage::Aborted)),
        ("abort-unknown", abort, Response::UnknownJob),
    ];
    let replies = cases.iter().map(|(_, _, r)| Reply::User(r.clone()));
    let (address, mut received) = server(replies.collect()).await;
    let body = include_str!("fixtures/submissions.txt");
    let (_, body) = body.lines().next().unwrap().split_once(": ").unwrap();
    for (name, request_line, _) in &cases {
        let sent = if *request_line == submit { body } else { "" };
        fixtures.check_encoded(name, &ask(address, request_line, sent).await);
        let expected = match *request_line {
            request_line if request_line == submit => "submit job-000412",
            request_line if request_line == poll => "poll job-000412",
            _ => "abort job-000412",
        };
        let decoded = received.recv().await;
        fixtures.check(name, "decoded request", decoded.as_deref(), Some(expected));
    }
    // Requests that the server answers without the controller.
    for (name, request_line) in [
        ("no-such-path", "GET /api/job/job-1"),
        ("no-such-method", "DELETE /api/jobs/job-1"),
    ] {
        fixtures.check_encoded(name, &ask(address, request_line, "").await);
    }
    let large = " ".repeat(api::MAX_BODY_BYTES + 1);
    let answer = ask(address, submit, &large).await;
    fixtures.check_encoded("too-large", &answer);
    fixtures.finish();
}

#[tokio::test]
async fn readiness() {
    let file = include_str!("fixtures/readiness.txt");
    let mut fixtures = Fixtures::new("readiness.txt", file);
    let (address, _received) = server(vec![Reply::Ready(true), Reply::Ready(false)]).await;
    for name in ["ready", "not-ready"] {
        fixtures.check_encoded(name, &ask(address, "GET /ready", "").await);
    }
    fixtures.finish();
}
