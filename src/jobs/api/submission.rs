//! Parses submissions, and names the first invalid field.

use serde::Deserialize;

use super::{RejectedSubmission, RejectionReason};
use crate::jobs::{JobKind, JobSpec, PriorityClass};
use crate::types::{Image, JobId, MachineTypeId, Resources, Team, Zone};

/// The largest request body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of tasks of a job.
const MAX_TASKS: u64 = 100_000;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Largest accepted amount of a resource, size or time; larger ones can only be mistakes.
const MAX_AMOUNT: f64 = 1e12;

/// The body of a submission. Unknown fields are ignored.
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

/// The id alone, for a body that is otherwise invalid.
#[derive(Deserialize)]
struct OnlyId {
    id: String,
}

/// Parses a submission.
///
/// # Errors
/// The reason names the first invalid field; the job's id is included if it is well formed.
pub fn parse(body: &[u8]) -> Result<(JobId, JobSpec), RejectedSubmission> {
    if body.len() > MAX_BODY_BYTES {
        let reason = RejectionReason::malformed("the body is larger than 64 KiB");
        return Err(RejectedSubmission { id: None, reason });
    }
    let checked = deserialize(body).and_then(|submission| {
        submission.check()?;
        Ok(submission)
    });
    match checked {
        Ok(submission) => Ok(submission.into()),
        Err(reason) => Err(RejectedSubmission {
            id: parse_id(body),
            reason,
        }),
    }
}

fn parse_id(body: &[u8]) -> Option<JobId> {
    let OnlyId { id } = serde_json::from_slice(body).ok()?;
    JobId::well_formed(&id).then(|| id.as_str().into())
}

fn deserialize(body: &[u8]) -> Result<SubmitBody, RejectionReason> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let submission = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let field = error.path().to_string();
        let reason = error.into_inner().to_string();
        // If a field is missing or duplicated, the reason names it instead of the path.
        RejectionReason::Malformed(match field.as_str() {
            "." => reason,
            field => format!("{field}: {reason}"),
        })
    })?;
    json.end()
        .map_err(|error| RejectionReason::Malformed(error.to_string()))?;
    Ok(submission)
}

impl SubmitBody {
    fn check(&self) -> Result<(), RejectionReason> {
        if !JobId::well_formed(&self.id) {
            return Err(RejectionReason::malformed("id: must be job- and digits"));
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(RejectionReason::malformed(
                "picks: must lie between 1 and 100000",
            ));
        }
        self.check_amounts()?;
        self.check_names()
    }

    fn check_amounts(&self) -> Result<(), RejectionReason> {
        let amounts = [
            ("vcpus", self.vcpus),
            ("accelerators", self.accelerators),
            ("memoryGb", self.memory_gb),
            ("sizeGb", self.size_gb),
            ("expectS", self.estimate_s),
            ("markS", self.checkpoint_s),
            ("stashS", self.save_s),
            ("dueS", self.due_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !(0.0..=MAX_AMOUNT).contains(&amount) {
                return Err(RejectionReason::Malformed(format!("{field}: out of range")));
            }
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), RejectionReason> {
        let names = [
            ("lot", self.class.as_str()),
            ("kit", self.image.as_str()),
            ("crew", self.team.as_str()),
        ];
        for (field, name) in names {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                let reason = format!("{field}: must have 1 to 256 bytes");
                return Err(RejectionReason::Malformed(reason));
            }
        }
        Ok(())
    }
}

/// Converts a body that has passed [`SubmitBody::check`].
impl From<SubmitBody> for (JobId, JobSpec) {
    fn from(body: SubmitBody) -> Self {
        let spec = JobSpec {
            class: body.class,
            team: body.team,
            kind: body.kind,
            priority: body.priority,
            tasks: body.tasks as u32,
            resources: Resources {
                cpus: body.vcpus,
                gpus: body.accelerators,
                memory_gb: body.memory_gb,
            },
            image: body.image,
            image_gb: body.size_gb,
            machine_types: body.machine_types,
            zone: body.zone,
            one_zone: body.one_zone,
            spread: body.spread,
            spot: body.spot,
            estimate_s: body.estimate_s,
            checkpoint_s: body.checkpoint_s,
            save_s: body.save_s,
            due_s: body.due_s,
        };
        (body.id.as_str().into(), spec)
    }
}
