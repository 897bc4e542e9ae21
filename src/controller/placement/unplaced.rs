//! Handles a job for which no machine of this controller's shards was suitable: preemption, another
//! controller's machines by way of the leader, or a return to the queue.

use std::collections::BTreeSet;

use crate::controller::candidates::{MachineQuery, MachineScope};
use crate::controller::preemption::PreemptionScope;
use crate::controller::{Controller, Effect};
use crate::peers::Message;
use crate::queue::{Check, PoppedJob, QueueKey};
use crate::types::JobId;

/// The action taken for a job that does not fit this controller's shards.
enum Fallback {
    /// Tasks are being preempted, and the job will take their place.
    Preempting,
    /// The job was forwarded to a controller that has the resources for it.
    Forwarded,
    /// The job was returned to the leader, and this controller no longer places it.
    Returned,
    /// No action: the job was rejected by these checks.
    None(BTreeSet<Check>),
}

impl Controller {
    /// Decides how to proceed when no machine of this controller is suitable for a job's next task,
    /// or for a gang.
    pub(super) fn handle_unplaced(
        &mut self,
        popped: &PoppedJob,
        checks: BTreeSet<Check>,
        key: QueueKey,
    ) {
        let PoppedJob { id, failures } = popped;
        let failures = *failures;
        // More resources do not help a job that has to wait for its team or for its own tasks.
        let blocked = checks.contains(&Check::TeamQuota) || checks.contains(&Check::EarlierAttempt);
        tracing::debug!(
            job = %id, fails = failures, ?checks,
            "no suitable machine for job in own shards"
        );
        let nominated = self
            .scheduler
            .nominations
            .machines_for(id, self.now)
            .is_some();
        let fallback = if blocked || nominated {
            Fallback::None(checks)
        } else {
            self.find_fallback(id, checks)
        };
        let checks = match fallback {
            Fallback::Preempting => {
                let now = self.now;
                return self.scheduler.queue.park_nominated(id, failures, key, now);
            }
            Fallback::Returned => {
                self.scheduler.forwarded.remove(id);
                return;
            }
            // The job only backs off, so that it is tried again soon in case the other controller
            // fails.
            Fallback::Forwarded => BTreeSet::new(),
            Fallback::None(checks) => checks,
        };
        if nominated && self.reclaims_per_task(id) {
            // Resources are being released for the job on some machine, so this is not a failure.
            let now = self.now;
            return self.scheduler.queue.park_nominated(id, failures, key, now);
        }
        // A job within its entitlement in the quota tree is tried again soon, since other teams
        // borrow its resources.
        let entitled = !key.beyond_guarantee && self.reclaims_per_task(id);
        let failures = if entitled { 0 } else { failures };
        self.requeue(id, failures, checks, key);
    }

    /// Looks for another way to place a job that these checks rejected on this controller's
    /// machines.
    fn find_fallback(&mut self, id: &JobId, checks: BTreeSet<Check>) -> Fallback {
        if self.serve_preemption_request(id) {
            return Fallback::Preempting;
        }
        if self.leading().is_none() {
            return self.return_unless_owned(id, checks);
        }
        if let Some(job) = self.jobs.get(id).filter(|job| job.is_multi_task_gang()) {
            // The cycle has already considered the whole fleet. Room is made for a gang as a whole: one
            // that is placed in part is taken back first.
            return if job.placed == 0 && self.preempt_for_gang(id) {
                Fallback::Preempting
            } else {
                Fallback::None(checks)
            };
        }
        self.place_in_other_shards(id, checks)
    }

    /// Preempts tasks on the machine that the leader chose for a job, if there is such a request.
    pub(super) fn serve_preemption_request(&mut self, id: &JobId) -> bool {
        let requested = self.scheduler.preemption_requests.remove(id);
        requested.is_some_and(|machine_id| self.preempt(id, PreemptionScope::On(machine_id)))
    }

    /// Reports to the leader that a job does not fit this controller's shards. The owner of a job
    /// also retries it; another controller leaves it to the leader.
    fn return_unless_owned(&mut self, id: &JobId, checks: BTreeSet<Check>) -> Fallback {
        if !self.return_to_leader(id) {
            return Fallback::None(checks);
        }
        let owner = self.jobs.get(id).map(|job| &job.record.owner);
        if owner == Some(&self.me) {
            Fallback::None(checks)
        } else {
            Fallback::Returned
        }
    }

    /// As the leader, forwards a job to a controller that has a machine for it, or preempts tasks
    /// anywhere in the fleet.
    fn place_in_other_shards(&mut self, id: &JobId, mut checks: BTreeSet<Check>) -> Fallback {
        match self.choose_machine(id, MachineQuery::within(MachineScope::Others)) {
            Ok(machine_id) => {
                let holder = self
                    .machines
                    .get(&machine_id)
                    .map(|machine| machine.last_contact_by.clone());
                if let Some(to) = holder {
                    let message = Message::Place {
                        job: id.to_string(),
                        preempt: None,
                    };
                    self.effects.push(Effect::Peer { to, message });
                }
                Fallback::Forwarded
            }
            Err(other_checks) => {
                checks.extend(other_checks);
                // If only quota is missing, freeing resources does not help.
                if !checks.contains(&Check::ShardQuota)
                    && self.preempt(id, PreemptionScope::Anywhere)
                {
                    return Fallback::Preempting;
                }
                Fallback::None(checks)
            }
        }
    }

    /// Reports to the leader that a job does not fit this controller's shards. Returns false if no
    /// leader is known.
    pub(super) fn return_to_leader(&mut self, id: &JobId) -> bool {
        let Some(to) = self.leader().cloned() else {
            return false;
        };
        let job = id.to_string();
        let message = Message::Unplaced { job };
        self.effects.push(Effect::Peer { to, message });
        true
    }
}
