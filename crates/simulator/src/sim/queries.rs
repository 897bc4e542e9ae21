//! Queries about the state of a simulated cluster, for tests and reports.

use std::collections::HashSet;

use jaspertiller::jobs::JobKind;
use jaspertiller::types::{JobId, Millis};

use super::{JobPlan, World};

impl World {
    /// Controllers whose index of free resources differs from a recount, each with the differences. Empty if all
    /// indices are correct.
    pub fn index_drift(&mut self) -> Vec<String> {
        let controllers = self.controllers.iter_mut().enumerate();
        let drift = controllers.filter_map(|(index, controller)| {
            let drift = controller.as_mut()?.index_differences();
            (!drift.is_empty()).then(|| format!("n{index}: {drift:?}"))
        });
        drift.collect()
    }

    /// How many tokens of shards the controllers that run have raised since they started.
    pub fn tokens_raised(&self) -> u64 {
        let controllers = self.controllers.iter().flatten();
        controllers
            .map(|controller| controller.start_counts().tokens_raised)
            .sum()
    }

    /// Jobs of the users that are neither over nor allocated to a machine, and that were never accepted or wait
    /// without a reason that a controller can name. Each entry names the job and what is wrong.
    pub fn unaccounted_jobs(&self) -> Vec<String> {
        let allocated: HashSet<&JobId> = self
            .machines
            .tasks_allocated(Millis(self.now))
            .map(|task| &task.job)
            .collect();
        let ids = self.jobs.iter().map(JobPlan::id);
        let open = ids.filter(|id| !self.is_over(id) && !allocated.contains(id));
        let unaccounted = open.filter_map(|id| {
            if !self.rules.accepted.contains(&id) {
                return Some(format!("{id} was never accepted"));
            }
            let mut controllers = self.controllers.iter().flatten();
            let has_reason = controllers.any(|controller| controller.wait_reason(&id).is_some());
            (!has_reason).then(|| format!("{id} waits for nothing"))
        });
        unaccounted.collect()
    }

    /// Jobs of the users that are neither done, cancelled nor services, sorted.
    pub fn unfinished_jobs(&self) -> Vec<JobId> {
        let is_service = |id: &JobId| {
            let job = self.machines.jobs.get(id);
            job.is_some_and(|job| job.spec.kind == JobKind::Service)
        };
        let ids = self.jobs.iter().map(JobPlan::id);
        let mut unfinished: Vec<JobId> = ids
            .filter(|id| !is_service(id) && !self.is_over(id))
            .collect();
        unfinished.sort();
        unfinished
    }
}
