//! Gang scheduling on the machines: the tasks of a gang start, complete and save together, and all exit when a member
//! is lost.

use std::collections::{BTreeMap, HashMap, HashSet};

use jaspertiller::jobs::JobKind;
use jaspertiller::types::{Attempt, JobId, Millis, TaskId};
use jaspertiller::workers::wire::{ExitCause, TaskStage};

use super::machine::{Machine, NEVER, Task};
use super::{JobDescription, Machines, last_checkpoint};

/// Longest interval between heartbeats of a machine that has tasks.
const BUSY_HEARTBEAT_INTERVAL: Millis = Millis(1_000);

/// One attempt of a gang, from the moment all its tasks started.
pub(super) struct GangRun {
    attempt: Attempt,
    running_since: Millis,
    ends_at: Millis,
    stop_requested_at: Option<Millis>,
    /// The progress of this attempt has been recorded, so it must not be recorded again.
    saved: bool,
}

/// Tasks of one attempt of a gang on all machines.
type Members<'a> = Vec<(TaskId, &'a mut Task)>;

fn count(members: &Members, stage: TaskStage) -> usize {
    let members = members.iter();
    members.filter(|(_, task)| task.stage == stage).count()
}

/// State other than the tasks that advancing a gang reads and changes.
struct GangRuns<'a> {
    now: Millis,
    /// How long members may continue after one was asked to stop.
    peer_timeout: Millis,
    runs: &'a mut BTreeMap<JobId, GangRun>,
    completed: &'a mut HashSet<TaskId>,
    progress: &'a mut HashMap<TaskId, Millis>,
    broken_gangs: &'a mut u64,
    lost_run_time: &'a mut Millis,
}

impl GangRuns<'_> {
    fn advance(&mut self, id: JobId, attempt: Attempt, members: Members, job: &JobDescription) {
        let tasks = job.spec.tasks as usize;
        let first = TaskId {
            job: id.clone(),
            index: 0,
        };
        let saved = self.progress.get(&first).copied().unwrap_or_default();
        let now = self.now;
        let run = self.runs.get_mut(&id).filter(|run| run.attempt == attempt);
        let Some(run) = run else {
            if count(&members, TaskStage::Waiting) == tasks {
                self.start(id, attempt, members, job.run_time - saved);
            }
            return;
        };
        let saving = count(&members, TaskStage::Saving);
        if saving > 0 {
            run.stop_requested_at.get_or_insert(now);
        }
        if count(&members, TaskStage::Running) == tasks && now >= run.ends_at {
            return self.complete(members);
        }
        let checkpointed = members.iter().filter(|(_, task)| task.checkpointed).count();
        if saving + checkpointed == tasks || run.saved {
            if checkpointed > 0 && !run.saved {
                run.saved = true;
                let stop_requested_at = run.stop_requested_at.unwrap_or(now);
                let progress = saved + stop_requested_at.since(run.running_since);
                self.progress.insert(first, progress);
            }
            return;
        }
        let requested_at = run.stop_requested_at;
        let is_late = requested_at.is_some_and(|at| now.since(at) > self.peer_timeout);
        let is_member_gone = members.len() < tasks && requested_at.is_none();
        if is_late || is_member_gone {
            let ran = requested_at.unwrap_or(now).since(run.running_since);
            // `saved` was false until here: an attempt with recorded progress returned above.
            run.saved = true;
            let checkpoint = last_checkpoint(ran, &job.spec);
            *self.broken_gangs += 1;
            *self.lost_run_time = *self.lost_run_time + (ran - checkpoint);
            self.progress.insert(first, saved + checkpoint);
            let running = members.into_iter().filter(|(_, task)| task.on_machine());
            running.for_each(|(_, task)| task.exit(ExitCause::GangMemberLost));
        }
    }

    fn start(&mut self, id: JobId, attempt: Attempt, members: Members, remaining: Millis) {
        let run = GangRun {
            attempt,
            running_since: self.now,
            ends_at: self.now + remaining,
            stop_requested_at: None,
            saved: false,
        };
        self.runs.insert(id, run);
        for (_, task) in members {
            // No end per task: `GangRun::ends_at` ends all members at once.
            task.run(self.now, NEVER);
        }
    }

    fn complete(&mut self, members: Members) {
        for (id, task) in members {
            task.exit(ExitCause::Done);
            self.completed.insert(id);
        }
    }
}

impl Machines {
    /// Advances all gangs. Tasks on machines that have stopped, are suspended or lost their lease do not count as
    /// members.
    pub(super) fn step_gangs(&mut self, now: Millis) {
        let lease = self.timing.lease;
        let mut attempts: BTreeMap<(JobId, Attempt), Members> = BTreeMap::new();
        for machine in self.by_id.values_mut() {
            let is_expired = machine.is_lease_expired(lease, now) && !self.ignore_lease_expiry;
            if !machine.is_running() || is_expired || now < machine.hung_until {
                continue;
            }
            if !machine.tasks.is_empty() {
                machine.heartbeat_by(now + BUSY_HEARTBEAT_INTERVAL);
            }
            collect_members(machine, &self.jobs, &mut attempts);
        }
        let mut runs = GangRuns {
            now,
            peer_timeout: self.timing.gang_peer,
            runs: &mut self.gangs,
            completed: &mut self.completed,
            progress: &mut self.progress,
            broken_gangs: &mut self.broken_gangs,
            lost_run_time: &mut self.lost_run_time,
        };
        for ((id, attempt), members) in attempts {
            if let Some(job) = self.jobs.get(&id) {
                runs.advance(id, attempt, members, job);
            }
        }
    }
}

/// Adds a machine's gang tasks to their attempts: those that have not exited, and those that exited with a checkpoint.
fn collect_members<'a>(
    machine: &'a mut Machine,
    jobs: &HashMap<JobId, JobDescription>,
    attempts: &mut BTreeMap<(JobId, Attempt), Members<'a>>,
) {
    let is_gang = |job: &JobDescription| job.spec.kind == JobKind::Gang;
    for (id, task) in &mut machine.tasks {
        let is_member = !task.is_exited() || task.checkpointed;
        let job = &id.task.job;
        if is_member && jobs.get(job).is_some_and(is_gang) {
            let members = attempts.entry((job.clone(), id.attempt)).or_default();
            members.push((id.task.clone(), task));
        }
    }
}
