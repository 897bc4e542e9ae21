//! How this controller takes part in dividing the store's write limit: the rate at which it may
//! write, the demand that it reports, and the plan that it writes while it leads.
//!
//! State: `commits.admission`. Status messages between peers carry the demand to the other
//! controllers.

use super::{CallPurpose, Controller, Effect};
use crate::admission::shared::{AdmissionReport, PLAN_KEY, WriteAdmission};
use crate::lease::{LEADER_KEY, OwnLease, controller_key};
use crate::store::{CallClass, Transaction};
use crate::types::{ControllerId, Revision};

impl Controller {
    /// Follows the newest plan, reports the demand, and writes the next plan if this controller
    /// leads.
    pub(super) fn update_admission_plan(&mut self) {
        let limit = WriteAdmission::limit_for_plans(self.settings.deployment.state.write_rps);
        self.follow_admission_plan(limit);
        let report = self.admission_report();
        self.commits
            .admission
            .reports
            .insert(self.me.clone(), report);
        self.write_admission_plan(limit);
    }

    /// Sets the write budget to this controller's allowance.
    fn follow_admission_plan(&mut self, limit: f64) {
        let base = admission_control::plan::base_share(limit, self.settings.controllers());
        let is_member = self.is_plan_member();
        let plan = &self.commits.admission.plan;
        let allowed = plan.allowance(self.me.as_str(), is_member, base);
        if allowed != self.commits.admission.allowed_rate {
            self.commits.admission.allowed_rate = allowed;
            self.effects.push(Effect::SetWriteLimit {
                writes_per_s: allowed,
            });
        }
    }

    /// Whether this controller may use the share that the plan gives it: it has a lease, by its own
    /// clock, and its cache contains everything that was written before it obtained that lease.
    /// Without the second condition, a controller that has just returned would follow a plan that
    /// counts it as absent.
    fn is_plan_member(&self) -> bool {
        let OwnLease::Held {
            lease_id,
            expires_at,
        } = self.membership.leases.own
        else {
            return false;
        };
        let registered = self.membership.leases.controllers.get(&self.me);
        self.now < expires_at
            && registered.is_some_and(|(record, version)| {
                record.lease_id == lease_id && self.store_sync.applied >= *version
            })
    }

    /// The demand that this controller reports to the others.
    fn admission_report(&mut self) -> AdmissionReport {
        let unanswered_writes = self
            .calls
            .store
            .values()
            .filter(|call| !call.written.is_empty())
            .count();
        let waiting = unanswered_writes + self.commits.backlog.overdue(self.now);
        let plan_version = if self.is_plan_member() {
            self.commits.admission.version
        } else {
            Revision(0)
        };
        AdmissionReport {
            plan_version,
            demand: self.commits.admission.demand(waiting, self.now),
        }
    }

    /// Writes the next plan, if this controller leads and the plan is worth a write.
    fn write_admission_plan(&mut self, limit: f64) {
        let Some(leader_revision) = self.leading().filter(|_| self.may_place()) else {
            return;
        };
        let members = self.settings.members.iter();
        let members = members.map(|member| member.label.clone());
        let controllers: Vec<ControllerId> = members.chain([self.me.clone()]).collect();
        let has_lease =
            |controller: &ControllerId| self.membership.leases.controllers.contains_key(controller);
        let admission = &self.commits.admission;
        let applied = self.store_sync.applied;
        let labels = controllers.iter().cloned();
        let next = admission.next_plan(limit, labels, has_lease, applied, self.now);
        let Some(plan) = next else { return };
        tracing::debug!(shares = ?plan.shares, "writing admission plan");
        let mut txn = Transaction::default();
        txn.require(LEADER_KEY.into(), leader_revision);
        txn.require(PLAN_KEY.into(), admission.version);
        // The write fails if a controller that this plan counts as absent returns in the meantime,
        // since that controller may follow a plan that includes it.
        for controller in controllers
            .iter()
            .filter(|controller| !has_lease(controller))
        {
            txn.require(controller_key(controller), Revision(0));
        }
        txn.put(PLAN_KEY.into(), &plan);
        self.commits.admission.record_plan(self.now);
        // The class of lease calls, so that the plan does not queue behind the writes whose rate it
        // is meant to raise.
        self.transact(CallClass::Leases, txn, CallPurpose::AdmissionPlan);
    }
}
