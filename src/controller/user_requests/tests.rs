use serde_json::{Value, json};

use crate::controller::commits::tests::controller;
use crate::controller::{Controller, Effect};
use crate::jobs::api::{JobStage, Response, parse, tests::body};
use crate::jobs::record::{JobRecord, job_key};
use crate::jobs::{Phase, Task};
use crate::store::StoreResponse;
use crate::types::{JobId, Millis, ReplyId, Revision};

/// A controller whose cache has `job-1`, with one task, in the given phase.
fn controller_with_job(phase: Phase) -> Controller {
    let (_, mut spec) = parse(body().to_string().as_bytes()).unwrap();
    spec.tasks = 1;
    let (mut controller, id) = controller(spec, vec![Task::NEVER_PLACED]);
    let record = JobRecord {
        phase,
        ..controller.jobs.get(&id).unwrap().record.clone()
    };
    let text = serde_json::to_string(&record).unwrap();
    controller.apply(&job_key(&id), Some(&text), Revision(20));
    (controller.now, controller.store_sync.last_response) = (Millis(1_000), Millis(1_000));
    controller.effects.clear();
    controller
}

fn submit(controller: &mut Controller, job: &Value) {
    let submission = parse(job.to_string().as_bytes());
    controller.on_submit(ReplyId(7), submission);
}

fn take_response(controller: &mut Controller) -> Option<Response> {
    let effects = std::mem::take(&mut controller.effects).into_iter();
    let mut responses = effects.filter_map(|effect| match effect {
        Effect::User { response, .. } => Some(response),
        _ => None,
    });
    responses.next()
}

/// Completes the read barriers of all pending requests.
fn complete_read_barriers(controller: &mut Controller) {
    for (_, read) in std::mem::take(&mut controller.store_sync.read_barrier.unsent) {
        controller.on_read_barrier_reached(read);
    }
    for (_, read) in std::mem::take(&mut controller.store_sync.read_barrier.awaiting_watch) {
        controller.on_read_barrier_reached(read);
    }
    for (_, read) in std::mem::take(&mut controller.store_sync.read_barrier.awaiting_revision) {
        controller.on_read_barrier_reached(read);
    }
}

/// A repeated submission of an accepted job is answered with the job's state, even if it is invalid.
#[test]
fn resubmitting_a_known_job_is_never_rejected() {
    let invalid_changes = [
        ("nothing", json!({})),
        ("a field's type", json!({"picks": "many"})),
        ("a field that is null", json!({"kit": null})),
        ("a removed team", json!({"crew": "nobody"})),
        ("a removed machine type", json!({"rigs": ["g0"]})),
        (
            "more resources than any machine has",
            json!({"vcpus": 9000.0}),
        ),
    ];
    for (phase, stage) in [
        (Phase::Active, JobStage::Queued),
        (Phase::Aborting, JobStage::Queued),
        (Phase::Done, JobStage::Done),
        (Phase::Aborted, JobStage::Aborted),
    ] {
        for (what, changes) in &invalid_changes {
            let mut controller = controller_with_job(phase);
            let mut job = body();
            job["id"] = "job-1".into();
            for (field, value) in changes.as_object().unwrap() {
                job[field] = value.clone();
            }
            submit(&mut controller, &job);
            let at_once = take_response(&mut controller);
            complete_read_barriers(&mut controller);
            let answer = at_once.or(take_response(&mut controller));
            let Some(Response::State(state)) = answer else {
                panic!("{phase:?}, {what}: {answer:?}");
            };
            assert_eq!(state.stage, stage, "{phase:?}, {what}");
        }
    }
}

/// A controller with a stale cache may not know a job that another controller has accepted.
#[test]
fn a_possibly_stale_cache_rejects_no_request() {
    let unknown = |field: &str, value: Value| {
        let mut job = body();
        job["id"] = "job-9".into();
        job[field] = value;
        job
    };
    let (malformed, never_runs) = (
        unknown("picks", json!("many")),
        unknown("crew", json!("nobody")),
    );
    for (job, status) in [(&malformed, 400), (&never_runs, 422)] {
        for (accepted, store_lost) in [(false, false), (true, false), (false, true)] {
            let mut controller = controller_with_job(Phase::Active);
            if store_lost {
                controller.now = Millis(9_000);
            }
            submit(&mut controller, job);
            let at_once = take_response(&mut controller);
            if accepted {
                let known = JobId::from("job-1");
                let record = &controller.jobs.get(&known).unwrap().record;
                let text = serde_json::to_string(record).unwrap();
                controller.apply(&job_key(&"job-9".into()), Some(&text), Revision(30));
                controller.effects.clear();
            }
            complete_read_barriers(&mut controller);
            let later = take_response(&mut controller);
            let case = format!("{status}, accepted {accepted}, store_lost {store_lost}");
            assert_eq!(at_once.is_some(), store_lost, "{case}: {at_once:?}");
            match at_once.or(later).expect("an answer") {
                Response::RetryAfter(_) => assert!(store_lost, "{case}"),
                Response::State(_) => assert!(accepted, "{case}"),
                Response::Malformed(_) => assert!(status == 400 && !accepted, "{case}"),
                Response::Infeasible(_) => assert!(status == 422 && !accepted, "{case}"),
                other => panic!("{case}: {other:?}"),
            }
        }
    }
}

/// Cancelling a finished job is answered with `done`, cancelling an unknown job with 404.
#[test]
fn cancelling_finished_or_unknown_jobs_is_answered_with_their_state() {
    for (phase, id, expected) in [
        (Phase::Done, "job-1", Some(JobStage::Done)),
        (Phase::Aborted, "job-1", Some(JobStage::Aborted)),
        (Phase::Done, "job-9", None),
        (Phase::Done, "no job's id", None),
    ] {
        let mut controller = controller_with_job(phase);
        controller.on_cancel(ReplyId(3), id.into());
        complete_read_barriers(&mut controller);
        match take_response(&mut controller) {
            Some(Response::State(state)) => assert_eq!(Some(state.stage), expected, "{id}"),
            Some(Response::UnknownJob) => assert_eq!(expected, None, "{phase:?} {id}"),
            other => panic!("{phase:?} {id}: {other:?}"),
        }
    }
}

/// Guards against `went_back`: a user was told by another controller that the job is cancelled, and then "queued" by
/// the late answer to the submission.
#[test]
fn a_late_commit_of_a_submission_is_answered_with_the_current_state() {
    let cases = [
        // revision that the cache has reached when the answer comes, stage in the response
        (29, None),
        (31, Some(JobStage::Aborted)),
    ];
    for (applied, stage) in cases {
        let mut controller = controller_with_job(Phase::Active);
        let id = JobId::from("job-000002");
        let (_, spec) = parse(body().to_string().as_bytes()).unwrap();
        let waiting = vec![ReplyId(7)];
        controller.requests.submitting.insert(id.clone(), waiting);
        controller.commit_submission(id.clone(), spec);
        let tag = *controller.calls.store.keys().max().unwrap();
        controller.effects.clear();
        if applied == 31 {
            let record = r#"{"phase":"aborted","home":"n1","tasks":1,"page":8}"#;
            controller.apply(&job_key(&id), Some(record), Revision(31));
        }
        controller.store_sync.applied = Revision(applied);
        controller.on_store(tag, StoreResponse::Committed(Revision(30)));
        complete_read_barriers(&mut controller);
        let response = take_response(&mut controller).unwrap();
        match (&response, stage) {
            (Response::Accepted(_), None) => {}
            (Response::State(state), Some(stage)) => assert_eq!(state.stage, stage),
            _ => panic!("{response:?} at {applied}"),
        }
    }
}
