//! The encoding of jobs in the key-value store: one record per job, and its tasks in run-length
//! encoded pages.
//!
//! A page that does not exist represents tasks that were never placed, so a job of 100,000 tasks
//! costs one record until it starts. Neighbouring tasks in the same state share one run.

use serde::{Deserialize, Serialize};

use super::{JobSpec, Phase, Placement, Task};
use crate::types::{AgentEpoch, Attempt, ControllerId, JobId, MachineId, ShardId};

/// Prefix of the keys of job records.
pub const JOB_KEY_PREFIX: &str = "jt/job/";
/// Prefix of the keys of task pages.
pub const PAGE_KEY_PREFIX: &str = "jt/task/";

/// The key of a job's record.
pub fn job_key(job: &JobId) -> String {
    format!("{JOB_KEY_PREFIX}{job}")
}

/// The key of a page of a job's tasks.
pub fn page_key(job: &JobId, page: u32) -> String {
    format!("{PAGE_KEY_PREFIX}{job}/{page}")
}

/// The job and the page that a key names; `None` if it is not the key of a page.
pub fn parse_page_key(key: &str) -> Option<(JobId, u32)> {
    let (job, page) = key.strip_prefix(PAGE_KEY_PREFIX)?.rsplit_once('/')?;
    Some((job.into(), page.parse().ok()?))
}

/// A job's own record. `spec` is dropped once the job is over and none of its tasks is left on any
/// machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job's phase.
    pub phase: Phase,
    /// The controller that accepted the job. It is the first to try to place the job, and writes the
    /// completions that the holders of other shards forward.
    #[serde(rename = "home")]
    pub owner: ControllerId,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks per page.
    #[serde(rename = "page")]
    pub page_size: u32,
    /// The validated submission; `None` once the job is finished.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
}

impl JobRecord {
    /// Number of pages, whether they exist or not.
    pub fn page_count(&self) -> u32 {
        self.tasks.div_ceil(self.page_size.max(1))
    }

    /// How many tasks a page holds; zero for a page beyond the last.
    pub fn page_len(&self, page: u32) -> u32 {
        self.tasks
            .saturating_sub(page * self.page_size)
            .min(self.page_size)
    }

    /// The final record of a job that ends in `phase`. It needs no spec.
    #[must_use]
    pub fn finished(&self, phase: Phase) -> Self {
        Self {
            phase,
            spec: None,
            ..self.clone()
        }
    }
}

/// Most bytes that one placed task takes in a page, besides the names of its machine and zone.
const MAX_TASK_BYTES: usize = 64;
/// Bytes that are reserved for the name of a machine.
const MACHINE_NAME_BYTES: usize = 24;
/// Maximum number of tasks in a page.
const MAX_PAGE_TASKS: usize = 128;
/// The fraction of the store's largest value size that a page may fill.
const MAX_VALUE_FILL: f64 = 0.9;

/// Tasks per page so that a page always fits one value of `value_kb` KiB. `longest_zone`: bytes of the
/// longest name of a zone.
pub fn page_size(value_kb: f64, longest_zone: usize) -> u32 {
    let bytes = (value_kb * 1024.0 * MAX_VALUE_FILL) as usize;
    let tasks = bytes / (MAX_TASK_BYTES + MACHINE_NAME_BYTES + longest_zone);
    tasks.clamp(1, MAX_PAGE_TASKS) as u32
}

/// Neighbouring tasks in the same state, as written in a page. The stored form is
/// `[{"w":[count, last attempt]}, {"d":count}, {"p":[machine, shard, agent epoch, attempt]}]`, so the
/// order of the fields must not change.
#[derive(Serialize, Deserialize)]
enum Run {
    #[serde(rename = "w")]
    Waiting(u32, u64),
    #[serde(rename = "d")]
    Done(u32),
    #[serde(rename = "p")]
    Placed(MachineId, String, u64, u64),
}

/// Encodes the tasks of a page.
pub fn encode_page(tasks: &[Task]) -> String {
    let mut runs: Vec<Run> = Vec::new();
    for task in tasks {
        match (task, runs.last_mut()) {
            (Task::Waiting { last_attempt }, Some(Run::Waiting(count, last)))
                if *last == last_attempt.0 =>
            {
                *count += 1;
            }
            (Task::Done, Some(Run::Done(count))) => *count += 1,
            (Task::Waiting { last_attempt }, _) => runs.push(Run::Waiting(1, last_attempt.0)),
            (Task::Done, _) => runs.push(Run::Done(1)),
            (Task::Placed(placement), _) => runs.push(Run::Placed(
                placement.machine_id.clone(),
                placement.shard.to_string(),
                placement.agent_epoch.0,
                placement.attempt.0,
            )),
        }
    }
    serde_json::to_string(&runs).unwrap_or_default()
}

/// Decodes a page of `len` tasks; `None` if it is invalid or of another length.
pub fn decode_page(text: &str, len: u32) -> Option<Vec<Task>> {
    let runs: Vec<Run> = serde_json::from_str(text).ok()?;
    let len = len as usize;
    let mut tasks = Vec::with_capacity(len);
    for run in runs {
        // A count in a record is not trusted to allocate more than a page.
        let remaining = len.checked_sub(tasks.len())?;
        match run {
            Run::Waiting(count, last_attempt) => {
                let last_attempt = Attempt(last_attempt);
                let count = remaining.min(count as usize);
                tasks.extend(std::iter::repeat_n(Task::Waiting { last_attempt }, count));
            }
            Run::Done(count) => {
                let count = remaining.min(count as usize);
                tasks.extend(std::iter::repeat_n(Task::Done, count));
            }
            Run::Placed(machine_id, shard, agent_epoch, attempt) => {
                tasks.push(Task::Placed(Placement {
                    machine_id,
                    shard: ShardId::parse(&shard)?,
                    agent_epoch: AgentEpoch(agent_epoch),
                    attempt: Attempt(attempt),
                }));
            }
        }
    }
    (tasks.len() == len).then_some(tasks)
}

#[cfg(test)]
mod tests;
