//! The users' interface: what submissions must look like, and the answers.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{JobKind, JobSpec, PriorityClass};
use crate::fleet::MachineTypeSpec;
use crate::settings::Settings;
use crate::types::{Image, JobId, MachineTypeId, Resources, Team, Zone};

/// No request body is larger.
pub const LARGEST_BODY: usize = 64 * 1024;
const MOST_TASKS: u64 = 100_000;
const LONGEST_NAME: usize = 256;
/// Amounts beyond this are surely mistakes.
const LARGEST_AMOUNT: f64 = 1e12;

#[derive(Deserialize)]
struct SubmitBody {
    id: String,
    #[serde(rename = "lot")]
    class: String,
    #[serde(rename = "crew")]
    team: Team,
    #[serde(rename = "shape")]
    kind: JobKind,
    #[serde(rename = "rank")]
    priority: PriorityClass,
    #[serde(rename = "picks")]
    tasks: u64,
    vcpus: f64,
    accelerators: f64,
    #[serde(rename = "memoryGb")]
    memory_gb: f64,
    #[serde(rename = "kit")]
    image: Image,
    #[serde(rename = "sizeGb")]
    size_gb: f64,
    #[serde(rename = "rigs")]
    machine_types: Option<Vec<MachineTypeId>>,
    #[serde(rename = "yard")]
    zone: Option<Zone>,
    #[serde(rename = "oneZone")]
    one_zone: bool,
    spread: bool,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "expectS")]
    estimate_s: f64,
    #[serde(rename = "markS")]
    checkpoint_s: f64,
    #[serde(rename = "stashS")]
    save_s: f64,
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

/// A submission that is not taken, and the job that it is about if that could be read: one that is known
/// is answered with its state, whatever else its user sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    pub id: Option<JobId>,
    pub why: Refusal,
}

#[derive(Deserialize)]
struct OnlyId {
    id: String,
}

/// Reads a submission; a refusal names the first field that is wrong.
pub fn parse(body: &[u8]) -> Result<(JobId, JobSpec), Refused> {
    if body.len() > LARGEST_BODY {
        let why = Refusal::Malformed("the body is larger than 64 KiB".into());
        return Err(Refused { id: None, why });
    }
    read(body).map_err(|why| {
        let id = serde_json::from_slice::<OnlyId>(body).ok().map(|b| b.id);
        let id = id.filter(|id| JobId::well_formed(id));
        Refused {
            id: id.map(|id| id.as_str().into()),
            why,
        }
    })
}

fn read(body: &[u8]) -> Result<(JobId, JobSpec), Refusal> {
    let malformed = |reason: &str| Refusal::Malformed(reason.to_string());
    let mut json = serde_json::Deserializer::from_slice(body);
    let b: SubmitBody = serde_path_to_error::deserialize(&mut json).map_err(|e| {
        let field = e.path().to_string();
        let reason = e.into_inner().to_string();
        // A field that is missing or doubled is named by the reason.
        Refusal::Malformed(match field.as_str() {
            "." => reason,
            field => format!("{field}: {reason}"),
        })
    })?;
    json.end().map_err(|e| Refusal::Malformed(e.to_string()))?;
    if !JobId::well_formed(&b.id) {
        return Err(malformed("id: must be job- and digits"));
    }
    if b.tasks == 0 || b.tasks > MOST_TASKS {
        return Err(malformed("picks: must lie between 1 and 100000"));
    }
    let amounts = [
        ("vcpus", b.vcpus),
        ("accelerators", b.accelerators),
        ("memoryGb", b.memory_gb),
        ("sizeGb", b.size_gb),
        ("expectS", b.estimate_s),
        ("markS", b.checkpoint_s),
        ("stashS", b.save_s),
        ("dueS", b.due_s.unwrap_or(0.0)),
    ];
    for (field, amount) in amounts {
        if !(0.0..=LARGEST_AMOUNT).contains(&amount) {
            return Err(Refusal::Malformed(format!("{field}: out of range")));
        }
    }
    let names = [
        ("lot", b.class.as_str()),
        ("kit", b.image.as_str()),
        ("crew", b.team.as_str()),
    ];
    for (field, name) in names {
        if name.is_empty() || name.len() > LONGEST_NAME {
            return Err(Refusal::Malformed(format!(
                "{field}: must have 1 to 256 bytes"
            )));
        }
    }
    let spec = JobSpec {
        class: b.class,
        team: b.team,
        kind: b.kind,
        priority: b.priority,
        tasks: b.tasks as u32,
        resources: Resources {
            cpus: b.vcpus,
            gpus: b.accelerators,
            memory_gb: b.memory_gb,
        },
        image: b.image,
        image_gb: b.size_gb,
        machine_types: b.machine_types,
        zone: b.zone,
        one_zone: b.one_zone,
        spread: b.spread,
        spot: b.spot,
        estimate_s: b.estimate_s,
        checkpoint_s: b.checkpoint_s,
        save_s: b.save_s,
        due_s: b.due_s,
    };
    Ok((b.id.as_str().into(), spec))
}

/// Whether the job can ever run; drops the allowed types that don't exist, so that the record
/// stays small whatever the user listed.
pub fn admit(
    mut spec: JobSpec,
    settings: &Settings,
    type_specs: &[MachineTypeSpec],
) -> Result<JobSpec, Refusal> {
    let never = |reason: String| Err(Refusal::NeverRuns(reason));
    let Some(team) = settings.team(&spec.team) else {
        return never(format!("crew: no team is called {}", spec.team));
    };
    if let Some(machine_types) = &mut spec.machine_types {
        machine_types.retain(|machine_type| type_specs.iter().any(|f| f.id == *machine_type));
        machine_types.dedup();
    }
    let roomy = type_specs
        .iter()
        .filter(|f| spec.resources.fits_in(f.resources));
    let places = roomy.flat_map(|f| f.zones.iter().map(move |zone| (&f.id, zone)));
    let places = places.filter(|(machine_type, zone)| spec.allows(machine_type, zone, false));
    let zones: BTreeSet<&Zone> = places.map(|(_, zone)| zone).collect();
    if zones.is_empty() {
        return never("a task fits no allowed machine type".into());
    }
    let in_one = spec.one_zone || zones.len() == 1;
    if spec.kind != JobKind::Array && spec.spread && in_one && spec.zone_share() < spec.tasks {
        return never("spread: all tasks would have to be in one zone".into());
    }
    let at_once = match spec.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => spec.tasks,
    };
    if !crate::quota::within(spec.resources.times(f64::from(at_once)), team) {
        return never(format!(
            "the job needs more than the limit of {}",
            spec.team
        ));
    }
    Ok(spec)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStage {
    Queued,
    Running,
    Done,
    Aborted,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobState {
    pub id: JobId,
    pub stage: JobStage,
    pub done: u32,
    pub running: u32,
}

pub fn is_final(state: &JobState) -> bool {
    matches!(state.stage, JobStage::Done | JobStage::Aborted)
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
pub mod tests;
