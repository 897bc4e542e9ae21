//! Resources that are being freed for jobs by preemption: nobody of lower priority takes them.

use rustc_hash::FxHashMap as HashMap;

use crate::types::{JobId, MachineId, Millis, Resources};

/// Room that is being made for jobs: nobody of lower order takes it.
#[derive(Debug, Default)]
pub(super) struct Nominations {
    pub(super) jobs: HashMap<JobId, Nomination>,
    pub(super) machine_ids: HashMap<MachineId, Vec<JobId>>,
}

/// Room on each of these machines, for one task each.
#[derive(Debug)]
pub(super) struct Nomination {
    pub(super) machine_ids: Vec<MachineId>,
    pub(super) resources: Resources,
    pub(super) until: Millis,
}

impl Nominations {
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
            let jobs = self.machine_ids.entry(machine_id.clone()).or_default();
            jobs.push(job.clone());
        }
    }

    /// The job has its task on a machine where room was made for it.
    pub(super) fn taken(&mut self, job: &JobId, machine_id: &MachineId) {
        let Some(nomination) = self.jobs.get_mut(job) else {
            return;
        };
        nomination.machine_ids.retain(|other| other != machine_id);
        if nomination.machine_ids.is_empty() {
            self.jobs.remove(job);
        }
        if let Some(jobs) = self.machine_ids.get_mut(machine_id) {
            jobs.retain(|other| other != job);
            if jobs.is_empty() {
                self.machine_ids.remove(machine_id);
            }
        }
    }

    pub(super) fn remove(&mut self, job: &JobId) {
        let Some(nomination) = self.jobs.remove(job) else {
            return;
        };
        for machine_id in nomination.machine_ids {
            if let Some(jobs) = self.machine_ids.get_mut(&machine_id) {
                jobs.retain(|other| other != job);
                if jobs.is_empty() {
                    self.machine_ids.remove(&machine_id);
                }
            }
        }
    }

    /// The machines where room is being made for a job.
    pub(super) fn of(&self, job: &JobId, now: Millis) -> Option<&[MachineId]> {
        let nomination = self.jobs.get(job).filter(|n| n.until > now)?;
        Some(&nomination.machine_ids)
    }

    /// The jobs that room is being made for on a machine, and how much.
    pub(super) fn on(
        &self,
        machine_id: &MachineId,
        now: Millis,
    ) -> impl Iterator<Item = (&JobId, Resources)> {
        let jobs = self.machine_ids.get(machine_id).into_iter().flatten();
        jobs.filter_map(move |job| {
            let nomination = self.jobs.get(job).filter(|n| n.until > now)?;
            Some((job, nomination.resources))
        })
    }
}
