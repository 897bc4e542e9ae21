//! What a job waits for, for operators and tests.

use super::Controller;
use crate::jobs::cache::Writing;
use crate::queue::Cause;
use crate::types::JobId;

impl Controller {
    pub fn machine(&self, host: &crate::types::HostId) -> String {
        format!(
            "{:?}",
            self.machines.get(host).map(|m| (
                self.free(m).gpus,
                m.draining,
                m.refused_until,
                self.drains.contains(host),
                self.nominations
                    .on(host, self.now)
                    .map(|(j, r)| (j.clone(), r.gpus))
                    .collect::<Vec<_>>(),
                self.jobs.on_host(host).cloned().collect::<Vec<_>>(),
                self.ours(m),
                self.others(m),
                self.fleet.gone.contains(host)
            ))
        )
    }

    pub fn describe(&self, id: &JobId) -> String {
        let job = self.jobs.get(id);
        format!(
            "{:?} placed {:?} done {:?} changes {:?} writing {:?}",
            job.map(|j| j.record.phase),
            job.map(|j| j
                .placements()
                .map(|(i, p)| (
                    i,
                    p.clone(),
                    self.machines.get(&p.host).map(|m| (
                        m.session,
                        m.tally,
                        m.baton,
                        m.heard,
                        self.token_for(&m.block)
                    ))
                ))
                .collect::<Vec<_>>()),
            job.map(|j| j.done),
            job.map(|j| j.changes.clone()),
            job.map(|j| format!("{:?}", j.writing))
        )
    }

    /// What a job of which tasks wait waits for here; none: it is no job of ours, or has none.
    pub fn waits_for(&self, id: &JobId) -> Option<Cause> {
        let job = self.jobs.get(id)?;
        if job.active() && job.waiting() == 0 && job.changes.is_empty() {
            return None;
        }
        if job.writing != Writing::Idle || !job.changes.is_empty() {
            return Some(Cause::Writing);
        }
        let queued = self.queue.waits_for(id);
        queued.or_else(|| (job.placed > 0).then_some(Cause::Leaving))
    }
}
