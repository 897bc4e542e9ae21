//! What follows a cycle in which no machine of our shards would do: preemption, another
//! controller's machines by way of the leader, or the queue.

use std::collections::BTreeSet;

use crate::controller::candidates::{MachineQuery, MachineScope};
use crate::controller::preemption::PreemptionScope;
use crate::controller::{Controller, Effect};
use crate::jobs::cache::Job;
use crate::peers::Message;
use crate::queue::{Check, PoppedJob, QueueKey};
use crate::types::JobId;

/// What is done for a job that does not fit our shards.
enum Remedy {
    /// Tasks are being preempted: the job takes their place.
    Preempting,
    /// A controller that has room for it was told to place it.
    Forwarded,
    /// The job went back to the leader, and is not ours to place any more.
    Returned,
    /// Nothing: the job was rejected by these checks.
    None(BTreeSet<Check>),
}

impl Controller {
    /// Sees to a job for whose next task, or for which as a gang, no machine of ours will do.
    pub(super) fn handle_unplaced(
        &mut self,
        popped: &PoppedJob,
        checks: BTreeSet<Check>,
        key: QueueKey,
    ) {
        let PoppedJob { id, failures } = popped;
        let failures = *failures;
        // More room is of no use to a job that has to wait for its team or for its own tasks.
        let blocked = checks.contains(&Check::Team) || checks.contains(&Check::Attempt);
        tracing::debug!(job = %id, fails = failures, ?checks, "job does not fit own shards");
        let nominated = self.scheduler.nominations.of(id, self.now).is_some();
        let remedy = if blocked || nominated {
            Remedy::None(checks)
        } else {
            self.find_remedy(id, checks)
        };
        let checks = match remedy {
            Remedy::Preempting => {
                let now = self.now;
                return self.scheduler.queue.expect_room(id, failures, key, now);
            }
            Remedy::Returned => {
                self.scheduler.forwarded.remove(id);
                return;
            }
            // It backs off only, so that it is soon tried again in case the other fails.
            Remedy::Forwarded => BTreeSet::new(),
            Remedy::None(checks) => checks,
        };
        if nominated && self.several(id) {
            // Its resources are being released on some machine: that is no failure.
            let now = self.now;
            return self.scheduler.queue.expect_room(id, failures, key, now);
        }
        // A job within its share of the quota tree asks again soon: others hold what is its own.
        let entitled = !key.beyond_guarantee && self.several(id);
        let failures = if entitled { 0 } else { failures };
        self.requeue(id, failures, checks, key);
    }

    /// Looks for a way to place a job that our machines rejected by these checks.
    fn find_remedy(&mut self, id: &JobId, checks: BTreeSet<Check>) -> Remedy {
        if self.serve_preemption_request(id) {
            return Remedy::Preempting;
        }
        if self.leading().is_none() {
            return self.return_unless_owned(id, checks);
        }
        if self.jobs.get(id).is_some_and(Job::whole_gang) {
            // The whole fleet was tried in the cycle already.
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

    /// Tells the leader that a job does not fit our shards. The owner of a job tries it again all
    /// the same; another controller leaves it to the leader.
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
                let holder = self.machines.get(&machine_id).map(|m| m.heard_by.clone());
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
                // Where only quota is used up, room is of no use.
                if !checks.contains(&Check::ShardQuota)
                    && self.preempt(id, PreemptionScope::Anywhere)
                {
                    return Remedy::Preempting;
                }
                Remedy::None(checks)
            }
        }
    }

    /// Tells the leader that a job does not fit our shards. Returns false if no leader is known.
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
