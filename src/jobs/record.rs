//! How jobs are written in the state service: one record a job, and its tasks in pages of runs.
//!
//! A page that does not exist stands for tasks that were never placed, so a job of 100,000 tasks
//! costs one record until it starts. Alike neighbours share one run.

use serde::{Deserialize, Serialize};

use super::{JobSpec, Phase, Placement, Task};
use crate::types::{AgentEpoch, Attempt, ControllerId, JobId, MachineId, ShardId};

pub const JOBS: &str = "jt/job/";
pub const PAGES: &str = "jt/task/";

pub fn job_key(job: &JobId) -> String {
    format!("{JOBS}{job}")
}

pub fn page_key(job: &JobId, page: u32) -> String {
    format!("{PAGES}{job}/{page}")
}

pub fn parse_page_key(key: &str) -> Option<(JobId, u32)> {
    let (job, page) = key.strip_prefix(PAGES)?.rsplit_once('/')?;
    Some((job.into(), page.parse().ok()?))
}

/// A job's own record. `spec` is dropped once the job is over and no task of it is left anywhere.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub phase: Phase,
    /// The controller that took the job and tries to place it first.
    #[serde(rename = "home")]
    pub owner: ControllerId,
    /// Number of tasks.
    pub tasks: u32,
    /// Tasks per page.
    pub page: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<JobSpec>,
}

impl JobRecord {
    pub fn pages(&self) -> u32 {
        self.tasks.div_ceil(self.page.max(1))
    }

    /// How many tasks a page holds.
    pub fn page_len(&self, page: u32) -> u32 {
        self.tasks.saturating_sub(page * self.page).min(self.page)
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

/// The most bytes that one placed task can take in a page, besides its names.
const TASK_BYTES: usize = 64;

/// Tasks per page so that a page always fits one value.
pub fn page_size(value_kb: f64, longest_zone: usize) -> u32 {
    let bytes = (value_kb * 1024.0 * 0.9) as usize;
    (bytes / (TASK_BYTES + 24 + longest_zone)).clamp(1, 128) as u32
}

#[derive(Serialize, Deserialize)]
enum Run {
    #[serde(rename = "w")]
    Waiting(u32, u64),
    #[serde(rename = "d")]
    Done(u32),
    #[serde(rename = "p")]
    Placed(MachineId, String, u64, u64),
}

pub fn encode_page(tasks: &[Task]) -> String {
    let mut runs: Vec<Run> = Vec::new();
    for task in tasks {
        match (task, runs.last_mut()) {
            (Task::Waiting { tried }, Some(Run::Waiting(count, last))) if *last == tried.0 => {
                *count += 1;
            }
            (Task::Done, Some(Run::Done(count))) => *count += 1,
            (Task::Waiting { tried }, _) => runs.push(Run::Waiting(1, tried.0)),
            (Task::Done, _) => runs.push(Run::Done(1)),
            (Task::Placed(p), _) => runs.push(Run::Placed(
                p.machine_id.clone(),
                p.shard.to_string(),
                p.agent_epoch.0,
                p.attempt.0,
            )),
        }
    }
    serde_json::to_string(&runs).unwrap_or_default()
}

pub fn decode_page(text: &str, len: u32) -> Option<Vec<Task>> {
    let runs: Vec<Run> = serde_json::from_str(text).ok()?;
    let mut tasks = Vec::with_capacity(len as usize);
    for run in runs {
        let remaining = (len as usize).checked_sub(tasks.len())?;
        match run {
            Run::Waiting(count, tried) => {
                let task = Task::Waiting {
                    tried: Attempt(tried),
                };
                tasks.extend(std::iter::repeat_n(task, remaining.min(count as usize)));
            }
            Run::Done(count) => {
                tasks.extend(std::iter::repeat_n(
                    Task::Done,
                    remaining.min(count as usize),
                ));
            }
            Run::Placed(machine_id, shard, agent_epoch, attempt) => {
                tasks.push(Task::Placed(Placement {
                    machine_id,
                    shard: ShardId::parse(&shard)?,
                    agent_epoch: AgentEpoch(agent_epoch),
                    attempt: Attempt(attempt),
                }))
            }
        }
    }
    (tasks.len() == len as usize).then_some(tasks)
}

#[cfg(test)]
mod tests;
