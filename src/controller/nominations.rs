//! Nominations: machines on which tasks are being preempted, or capacity for a gang is kept, for a
//! job. Jobs of lower priority may not take the resources in the meantime.
//!
//! A nomination expires, so that a job which never uses its machines does not block them.

use rustc_hash::FxHashMap as HashMap;

use crate::types::{JobId, MachineId, Millis, Resources};

/// All nominations, by job and by machine.
#[derive(Debug, Default)]
pub(super) struct Nominations {
    /// The nomination of each job; expired ones are included until they are removed.
    pub(super) by_job: HashMap<JobId, Nomination>,
    /// The jobs that are nominated for each machine, the earliest first.
    jobs_by_machine: HashMap<MachineId, Vec<JobId>>,
}

/// The machines that are kept for one job.
#[derive(Debug)]
pub(super) struct Nomination {
    /// The machines; on each of them, resources for one task are kept.
    pub(super) machine_ids: Vec<MachineId>,
    /// The resources of one task.
    pub(super) resources: Resources,
    /// When the nomination expires.
    pub(super) expires_at: Millis,
}

impl Nominations {
    /// Nominates a job for a machine, and extends its whole nomination to `expires_at`.
    pub(super) fn add(
        &mut self,
        job: &JobId,
        machine_id: &MachineId,
        resources: Resources,
        expires_at: Millis,
    ) {
        let nomination = self.by_job.entry(job.clone()).or_insert(Nomination {
            machine_ids: Vec::new(),
            resources,
            expires_at,
        });
        nomination.expires_at = expires_at;
        if !nomination.machine_ids.contains(machine_id) {
            nomination.machine_ids.push(machine_id.clone());
            let jobs = self.jobs_by_machine.entry(machine_id.clone()).or_default();
            jobs.push(job.clone());
        }
    }

    /// Removes a machine from a job's nomination, since a task of the job was placed there.
    pub(super) fn remove_machine(&mut self, job: &JobId, machine_id: &MachineId) {
        let Some(nomination) = self.by_job.get_mut(job) else {
            return;
        };
        nomination.machine_ids.retain(|other| other != machine_id);
        if nomination.machine_ids.is_empty() {
            self.by_job.remove(job);
        }
        self.unlink(machine_id, job);
    }

    /// Removes a job's nomination.
    pub(super) fn remove(&mut self, job: &JobId) {
        let Some(nomination) = self.by_job.remove(job) else {
            return;
        };
        for machine_id in nomination.machine_ids {
            self.unlink(&machine_id, job);
        }
    }

    /// The machines that a job is nominated for; `None` if it has no valid nomination.
    pub(super) fn machines_for(&self, job: &JobId, now: Millis) -> Option<&[MachineId]> {
        let nomination = self.current(job, now)?;
        Some(&nomination.machine_ids)
    }

    /// The jobs that are nominated for a machine, and the resources that are kept for each.
    pub(super) fn jobs_on(
        &self,
        machine_id: &MachineId,
        now: Millis,
    ) -> impl Iterator<Item = (&JobId, Resources)> {
        let jobs = self.jobs_by_machine.get(machine_id).into_iter().flatten();
        jobs.filter_map(move |job| Some((job, self.current(job, now)?.resources)))
    }

    /// A job's nomination, if it is still valid.
    fn current(&self, job: &JobId, now: Millis) -> Option<&Nomination> {
        self.by_job
            .get(job)
            .filter(|nomination| nomination.expires_at > now)
    }

    /// Removes a job from the list of those nominated for a machine.
    fn unlink(&mut self, machine_id: &MachineId, job: &JobId) {
        if let Some(jobs) = self.jobs_by_machine.get_mut(machine_id) {
            jobs.retain(|other| other != job);
            if jobs.is_empty() {
                self.jobs_by_machine.remove(machine_id);
            }
        }
    }
}
