//! Nominations: machines on which tasks are being preempted, or a gang's room is kept, for a job.
//! Jobs of lower priority may not take the resources meanwhile.
//!
//! A nomination lapses with time, so that a job which never takes its machines does not block them.

use rustc_hash::FxHashMap as HashMap;

use crate::types::{JobId, MachineId, Millis, Resources};

/// All nominations, by job and by machine.
#[derive(Debug, Default)]
pub(super) struct Nominations {
    /// The nomination of each job; those that lapsed are included until they are removed.
    pub(super) jobs: HashMap<JobId, Nomination>,
    /// The jobs that are nominated for each machine, the earliest first.
    jobs_by_machine: HashMap<MachineId, Vec<JobId>>,
}

/// The machines that are kept for one job.
#[derive(Debug)]
pub(super) struct Nomination {
    /// Room for one task is kept on each of these.
    pub(super) machine_ids: Vec<MachineId>,
    /// What one task takes.
    pub(super) resources: Resources,
    /// When the nomination lapses.
    pub(super) until: Millis,
}

impl Nominations {
    /// Nominates a job for a machine, and extends its whole nomination to `until`.
    pub(super) fn add(
        &mut self,
        job: &JobId,
        machine_id: &MachineId,
        resources: Resources,
        until: Millis,
    ) {
        let nomination = self.jobs.entry(job.clone()).or_insert(Nomination {
            machine_ids: Vec::new(),
            resources,
            until,
        });
        nomination.until = until;
        if !nomination.machine_ids.contains(machine_id) {
            nomination.machine_ids.push(machine_id.clone());
            let jobs = self.jobs_by_machine.entry(machine_id.clone()).or_default();
            jobs.push(job.clone());
        }
    }

    /// A task of the job was placed on a machine that it was nominated for.
    pub(super) fn taken(&mut self, job: &JobId, machine_id: &MachineId) {
        let Some(nomination) = self.jobs.get_mut(job) else {
            return;
        };
        nomination.machine_ids.retain(|other| other != machine_id);
        if nomination.machine_ids.is_empty() {
            self.jobs.remove(job);
        }
        self.unlink(machine_id, job);
    }

    /// Gives up a job's nomination.
    pub(super) fn remove(&mut self, job: &JobId) {
        let Some(nomination) = self.jobs.remove(job) else {
            return;
        };
        for machine_id in nomination.machine_ids {
            self.unlink(&machine_id, job);
        }
    }

    /// The machines that a job is nominated for; `None` if it has no nomination that still holds.
    pub(super) fn of(&self, job: &JobId, now: Millis) -> Option<&[MachineId]> {
        let nomination = self.current(job, now)?;
        Some(&nomination.machine_ids)
    }

    /// The jobs that are nominated for a machine, and what is kept for each.
    pub(super) fn on(
        &self,
        machine_id: &MachineId,
        now: Millis,
    ) -> impl Iterator<Item = (&JobId, Resources)> {
        let jobs = self.jobs_by_machine.get(machine_id).into_iter().flatten();
        jobs.filter_map(move |job| Some((job, self.current(job, now)?.resources)))
    }

    /// A job's nomination, if it still holds.
    fn current(&self, job: &JobId, now: Millis) -> Option<&Nomination> {
        self.jobs
            .get(job)
            .filter(|nomination| nomination.until > now)
    }

    fn unlink(&mut self, machine_id: &MachineId, job: &JobId) {
        if let Some(jobs) = self.jobs_by_machine.get_mut(machine_id) {
            jobs.retain(|other| other != job);
            if jobs.is_empty() {
                self.jobs_by_machine.remove(machine_id);
            }
        }
    }
}
