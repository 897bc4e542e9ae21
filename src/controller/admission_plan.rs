//! This controller's part of what all share: what it may use, what it needs, and the plan it writes
//! while it leads.

use super::{CallPurpose, Controller, Effect};
use crate::admission::shared::{AdmissionReport, PLAN, Shared};
use crate::lease::{LEADER, OwnLease, controller_key};
use crate::store::{CallClass, Transaction};
use crate::types::{ControllerId, Revision};

impl Controller {
    /// Whether we have a lease, by our own clock, and have seen all that was written before it.
    /// Without the second, a controller that is back would go by a plan that counts it for gone.
    fn obeys_plan(&self) -> bool {
        let OwnLease::Held { lease_id, until } = self.membership.leases.own else {
            return false;
        };
        let mine = self.membership.leases.controllers.get(&self.me);
        self.now < until
            && mine.is_some_and(|(r, version)| {
                r.lease_id == lease_id && self.store_sync.applied >= *version
            })
    }

    /// What we tell the others, at each tick.
    fn said(&mut self) -> AdmissionReport {
        let calls = self
            .calls
            .store
            .values()
            .filter(|(_, w)| !w.is_empty())
            .count();
        let waiting = calls + self.commits.backlog.overdue(self.now);
        let obeys = if self.obeys_plan() {
            self.commits.admission.version
        } else {
            Revision(0)
        };
        AdmissionReport {
            obeys,
            demand: self.commits.admission.demand(waiting, self.now),
        }
    }

    pub(super) fn update_admission_plan(&mut self) {
        let limit = Shared::limit(self.settings.deployment.state.write_rps);
        let base = admission_control::plan::base(limit, self.settings.controllers());
        let member = self.obeys_plan();
        let plan = &self.commits.admission.plan;
        let allowed = plan.allowance(self.me.as_str(), member, base);
        if allowed != self.commits.admission.allowed {
            self.commits.admission.allowed = allowed;
            self.effects.push(Effect::Allow { writes: allowed });
        }
        let said = self.said();
        self.commits.admission.said.insert(self.me.clone(), said);
        let Some(lead) = self.leading().filter(|_| self.may_place()) else {
            return;
        };
        let members = self.settings.members.iter().map(|m| m.label.clone());
        let all: Vec<ControllerId> = members.chain([self.me.clone()]).collect();
        let present =
            |controller: &ControllerId| self.membership.leases.controllers.contains_key(controller);
        let next = self
            .commits
            .admission
            .next(limit, all.iter().cloned(), present, self.now);
        let Some(plan) = next else { return };
        tracing::debug!(shares = ?plan.shares, "admission plan updated");
        let mut txn = Transaction::default();
        txn.require(LEADER.into(), lead);
        txn.require(PLAN.into(), self.commits.admission.version);
        // One that is back meanwhile may go by a plan that counts on it.
        for controller in all.iter().filter(|controller| !present(controller)) {
            txn.require(controller_key(controller), Revision(0));
        }
        txn.put(PLAN.into(), &plan);
        self.commits.admission.planned(self.now);
        // It must not wait behind what it is to speed up.
        self.transact(CallClass::Leases, txn, CallPurpose::Plan);
    }
}
