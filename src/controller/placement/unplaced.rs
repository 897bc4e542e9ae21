//! Handles a job for which no machine of our shards was suitable: preemption, another controller's
//! machines by way of the leader, or the queue.

use std::collections::BTreeSet;

use crate::controller::candidates::{MachineQuery, MachineScope};
use crate::controller::preemption::PreemptionScope;
use crate::controller::{Controller, Effect};
use crate::jobs::cache::Job;
use crate::peers::Message;
use crate::queue::{Check, PoppedJob, QueueKey};
use crate::types::JobId;

/// The action taken for a job that does not fit our shards.
enum Remedy {
    /// Tasks are being preempted, and the job will take their place.
    Preempting,
    /// The job was forwarded to a controller that has the resources for it.
    Forwarded,
    /// The job was returned to the leader, and is no longer ours to place.
    Returned,
    /// No action: the job was rejected by these checks.
    None(BTreeSet<Check>),
}

impl Controller {
    /// Decides how to proceed when no machine of ours is suitable for a job's next task, or for a
    /// gang.
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
        tracing::debug!(job = %id, fails = failures, ?checks, "job does not fit own shards");
        let nominated = self
            .scheduler
            .nominations
            .machines_for(id, self.now)
            .is_some();
        let remedy = if blocked || nominated {
            Remedy::None(checks)
        } else {
            self.find_remedy(id, checks)
        };
        let checks = match remedy {
            Remedy::Preempting => {
                let now = self.now;
                return self.scheduler.queue.park_nominated(id, failures, key, now);
            }
            Remedy::Returned => {
                self.scheduler.forwarded.remove(id);
                return;
            }
            // It only backs off, so that it is tried again soon in case the other controller fails.
            Remedy::Forwarded => BTreeSet::new(),
            Remedy::None(checks) => checks,
        };
        if nominated && self.reclaims_per_task(id) {
            // Its resources are being released on some machine, so this is not a failure.
            let now = self.now;
            return self.scheduler.queue.park_nominated(id, failures, key, now);
        }
        // A job within its entitlement in the quota tree is tried again soon, since other teams
        // borrow its resources.
        let entitled = !key.beyond_guarantee && self.reclaims_per_task(id);
        let failures = if entitled { 0 } else { failures };
        self.requeue(id, failures, checks, key);
    }

    /// Looks for a way to place a job that these checks rejected on our machines.
    fn find_remedy(&mut self, id: &JobId, checks: BTreeSet<Check>) -> Remedy {
        if self.serve_preemption_request(id) {
            return Remedy::Preempting;
        }
        if self.leading().is_none() {
            return self.return_unless_owned(id, checks);
        }
        if self.jobs.get(id).is_some_and(Job::is_gang_of_several) {
            // The cycle has already considered the whole fleet.
            return if self.preempt_for_gang(id) {
                Remedy::Preempting
            } else {
                Remedy::None(checks)
            };
        }
        self.place_in_other_shards(id, checks)
    }

    /// Preempts tasks on the machine that the leader chose for a job, if there is such a request.
    pub(super) fn serve_preemption_request(&mut self, id: &JobId) -> bool {
        let requested = self.scheduler.preemption_requests.remove(id);
        requested.is_some_and(|machine_id| self.preempt(id, PreemptionScope::On(machine_id)))
    }

    /// Reports to the leader that a job does not fit our shards. The owner of a job also retries
    /// it; another controller leaves it to the leader.
    fn return_unless_owned(&mut self, id: &JobId, checks: BTreeSet<Check>) -> Remedy {
        if !self.return_to_leader(id) {
            return Remedy::None(checks);
        }
        let owner = self.jobs.get(id).map(|job| &job.record.owner);
        if owner == Some(&self.me) {
            Remedy::None(checks)
        } else {
            Remedy::Returned
        }
    }

    /// As the leader, forwards a job to a controller that has a machine for it, or preempts tasks
    /// anywhere in the fleet.
    fn place_in_other_shards(&mut self, id: &JobId, mut checks: BTreeSet<Check>) -> Remedy {
        match self.choose_machine(id, MachineQuery::within(MachineScope::Others)) {
            Ok(machine_id) => {
                let holder = self
                    .machines
                    .get(&machine_id)
                    .map(|m| m.last_contact_by.clone());
                if let Some(to) = holder {
                    let message = Message::Place {
                        job: id.to_string(),
                        preempt: None,
                    };
                    self.effects.push(Effect::Peer { to, message });
                }
                Remedy::Forwarded
            }
            Err(more) => {
                checks.extend(more);
                // If only quota is missing, freeing resources does not help.
                if !checks.contains(&Check::ShardQuota)
                    && self.preempt(id, PreemptionScope::Anywhere)
                {
                    return Remedy::Preempting;
                }
                Remedy::None(checks)
            }
        }
    }

    /// Reports to the leader that a job does not fit our shards. Returns false if no leader is
    /// known.
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
