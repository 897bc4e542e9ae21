//! The users' interface: what submissions must look like, and the answers.

use serde::{Deserialize, Serialize};

use super::{Rank, Shape, Spec};
use crate::fleet::Flavor;
use crate::settings::Settings;
use crate::types::{Image, JobId, Room, Sku, Team, Zone};

/// No request body is larger.
pub const LARGEST_BODY: usize = 64 * 1024;
const MOST_TASKS: u64 = 100_000;
const LONGEST_NAME: usize = 256;
/// Amounts beyond this are surely mistakes.
const LARGEST_AMOUNT: f64 = 1e12;

#[derive(Deserialize)]
struct SubmitBody {
    id: String,
    lot: String,
    crew: Team,
    shape: Shape,
    rank: Rank,
    picks: u64,
    vcpus: f64,
    accelerators: f64,
    #[serde(rename = "memoryGb")]
    memory_gb: f64,
    kit: Image,
    #[serde(rename = "sizeGb")]
    size_gb: f64,
    rigs: Option<Vec<Sku>>,
    yard: Option<Zone>,
    #[serde(rename = "oneZone")]
    one_zone: bool,
    spread: bool,
    loaners: bool,
    #[serde(rename = "expectS")]
    expect_s: f64,
    #[serde(rename = "markS")]
    mark_s: f64,
    #[serde(rename = "stashS")]
    stash_s: f64,
    #[serde(rename = "dueS")]
    due_s: Option<f64>,
}

/// Why a submission is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// 400
    Malformed(String),
    /// 422
    NeverRuns(String),
}

/// Reads a submission; `Malformed` names the first thing that is wrong.
pub fn parse(body: &[u8]) -> Result<(JobId, Spec), Refusal> {
    let malformed = |reason: &str| Refusal::Malformed(reason.to_string());
    if body.len() > LARGEST_BODY {
        return Err(malformed("the body is larger than 64 KiB"));
    }
    let b: SubmitBody =
        serde_json::from_slice(body).map_err(|e| Refusal::Malformed(e.to_string()))?;
    if !JobId::well_formed(&b.id) {
        return Err(malformed("id: must be job- and digits"));
    }
    if b.picks == 0 || b.picks > MOST_TASKS {
        return Err(malformed("picks: must lie between 1 and 100000"));
    }
    let amounts = [
        ("vcpus", b.vcpus),
        ("accelerators", b.accelerators),
        ("memoryGb", b.memory_gb),
        ("sizeGb", b.size_gb),
        ("expectS", b.expect_s),
        ("markS", b.mark_s),
        ("stashS", b.stash_s),
        ("dueS", b.due_s.unwrap_or(0.0)),
    ];
    for (field, amount) in amounts {
        if !(0.0..=LARGEST_AMOUNT).contains(&amount) {
            return Err(Refusal::Malformed(format!("{field}: out of range")));
        }
    }
    let names = [
        ("lot", b.lot.as_str()),
        ("kit", b.kit.as_str()),
        ("crew", b.crew.as_str()),
    ];
    for (field, name) in names {
        if name.is_empty() || name.len() > LONGEST_NAME {
            return Err(Refusal::Malformed(format!(
                "{field}: must have 1 to 256 bytes"
            )));
        }
    }
    let spec = Spec {
        class: b.lot,
        team: b.crew,
        shape: b.shape,
        rank: b.rank,
        tasks: b.picks as u32,
        room: Room {
            cpus: b.vcpus,
            gpus: b.accelerators,
            memory_gb: b.memory_gb,
        },
        image: b.kit,
        image_gb: b.size_gb,
        rigs: b.rigs,
        yard: b.yard,
        one_zone: b.one_zone,
        spread: b.spread,
        spot: b.loaners,
        estimate_s: b.expect_s,
        checkpoint_s: b.mark_s,
        save_s: b.stash_s,
        due_s: b.due_s,
    };
    Ok((b.id.as_str().into(), spec))
}

/// Whether the job can ever run; drops the allowed types that don't exist, so that the record
/// stays small whatever the user listed.
pub fn admit(mut spec: Spec, settings: &Settings, flavors: &[Flavor]) -> Result<Spec, Refusal> {
    let never = |reason: String| Err(Refusal::NeverRuns(reason));
    let Some(team) = settings.team(&spec.team) else {
        return never(format!("crew: no team is called {}", spec.team));
    };
    if let Some(rigs) = &mut spec.rigs {
        rigs.retain(|rig| flavors.iter().any(|f| f.sku == *rig));
        rigs.dedup();
    }
    let fits = flavors.iter().any(|f| {
        f.zones.iter().any(|zone| spec.allows(&f.sku, zone, false)) && spec.room.fits_in(f.room)
    });
    if !fits {
        return never("a task fits no allowed machine type".into());
    }
    let at_once = match spec.shape {
        Shape::Array => 1,
        Shape::Gang | Shape::Service => spec.tasks,
    };
    if !crate::quota::within(spec.room.times(f64::from(at_once)), team) {
        return never(format!(
            "the job needs more than the limit of {}",
            spec.team
        ));
    }
    Ok(spec)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    Queued,
    Running,
    Done,
    Aborted,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobState {
    pub id: JobId,
    pub stage: Stage,
    pub done: u32,
    pub running: u32,
}

pub fn is_final(state: &JobState) -> bool {
    matches!(state.stage, Stage::Done | Stage::Aborted)
}

/// What a user is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Accepted(JobId),
    State(JobState),
    Malformed(String),
    NeverRuns(String),
    Unknown,
    /// Not now: come back after this many seconds.
    Later(u32),
}

impl Response {
    pub fn later() -> Self {
        Response::Later(1)
    }
}

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Malformed(reason) => Response::Malformed(reason),
            Refusal::NeverRuns(reason) => Response::NeverRuns(reason),
        }
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use serde_json::{Value, json};

    pub fn body() -> Value {
        json!({"id":"job-000412","lot":"train","crew":"vision","shape":"gang","rank":"urgent",
            "picks":16,"vcpus":8.0,"accelerators":1.0,"memoryGb":64.0,"kit":"img-07","sizeGb":6.2,
            "rigs":["g8"],"yard":null,"oneZone":true,"spread":false,"loaners":true,
            "expectS":240.0,"markS":30.0,"stashS":4.0,"dueS":900.0,"later":"ignored"})
    }

    #[test]
    fn malformed_submissions_are_told_from_good_ones() {
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
        for (field, value, good) in cases {
            let mut job = body();
            job[*field] = value.clone();
            let parsed = parse(job.to_string().as_bytes());
            assert_eq!(parsed.is_ok(), *good, "{field} = {value}: {parsed:?}");
        }
        for field in ["id", "lot", "crew", "picks", "kit", "spread", "markS"] {
            let mut job = body();
            job.as_object_mut().unwrap().remove(field);
            let parsed = parse(job.to_string().as_bytes());
            assert!(
                matches!(parsed, Err(Refusal::Malformed(_))),
                "without {field}"
            );
        }
        for text in ["", "[]", "7", "{", "null", "{\"id\":\"job-1\"}"] {
            assert!(
                matches!(parse(text.as_bytes()), Err(Refusal::Malformed(_))),
                "{text}"
            );
        }
        let huge = format!("{{\"x\":\"{}\"}}", "y".repeat(LARGEST_BODY));
        assert!(matches!(parse(huge.as_bytes()), Err(Refusal::Malformed(_))));
    }
}
