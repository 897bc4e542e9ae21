//! Nested quotas in the controller.
//!
//! This module decides whether work is within its team's guarantee or entitlement. Its submodules:
//! - `publication`: writes the operator's tree file to the store and deletes replaced pages,
//! - `demand`: refreshes the entitlements by the teams' demands and wakes jobs of teams that are
//!   entitled to more,
//! - `reclaim`: stops borrowed work for work within its entitlement,
//! - `reservation`: reserves a machine for a task that needs most of a machine,
//! - `excess`: stops work beyond a lowered limit.
//!
//! The state is part of `Quota`: [`TreePublication`] and [`ReclaimState`]. The tree itself is
//! [`HierarchicalQuota`](crate::quota::hierarchical::HierarchicalQuota).

mod demand;
mod excess;
mod publication;
mod reclaim;
mod reservation;

use hierarchical_quota::ResourceRequest;

pub(super) use self::publication::TreePublication;
pub(super) use self::reclaim::ReclaimState;
use super::Controller;
use super::quota_allocation::Quota;
use crate::jobs::JobKind;
use crate::jobs::cache::Job;
use crate::queue::ClusterEvent;
use crate::quota;
use crate::types::{JobId, Resources, Revision, Team};

impl Quota {
    /// Whether a team is in the active tree.
    pub(super) fn in_tree(&self, team: &Team) -> bool {
        let tree = self.hierarchy.active_tree();
        tree.is_some_and(|tree| tree.leaf(team).is_some())
    }
}

impl Controller {
    /// Refreshes the entitlements, stops work beyond a lowered limit, and publishes the tree file.
    pub(super) fn refresh_quota_tree(&mut self) {
        self.refresh_entitlements();
        self.stop_excess();
        self.publish_tree();
    }

    /// Applies a watch event of a tree record: its new content, or `None` if it was deleted.
    pub(super) fn apply_tree(&mut self, key: &str, data: Option<&str>, version: Revision) {
        if self.quota.hierarchy.apply(key, data, version) {
            self.jobs.set_groups(self.quota.hierarchy.groups());
            self.quota.reclaim = ReclaimState::default();
            self.wake_parked_jobs(ClusterEvent::QuotaTreeReplaced);
        }
    }

    /// Whether a job's next task, or all tasks of a gang or service, are within its team's
    /// guarantee on the platform or its entitlement in the tree.
    pub(super) fn is_entitled(&self, job: &Job) -> bool {
        self.within_flat_guarantee(job) || self.within_entitlement(job)
    }

    /// Whether the team's usage with the resources that the job needs at once is within the team's
    /// guarantee on the platform, which applies with and without a tree.
    fn within_flat_guarantee(&self, job: &Job) -> bool {
        let name = &job.spec.team;
        let used = self.jobs.usage(name).plus(resources_at_once(job));
        let team = self.settings.team(name);
        team.is_some_and(|team| quota::within_guarantee(used, team))
    }

    /// Whether the resources that the job needs at once are within its team's entitlement in the
    /// tree. False without a tree.
    fn within_entitlement(&self, job: &Job) -> bool {
        let name = &job.spec.team;
        let Some(tree) = self.quota.hierarchy.active_tree() else {
            return false;
        };
        tree.leaf(name).is_some_and(|leaf| {
            let used = self.jobs.observed_usage(name).into();
            tree.entitlements
                .is_within_entitlement(leaf, used, resource_request(job))
        })
    }

    /// Whether a team is in the active tree.
    pub(super) fn in_tree(&self, team: &Team) -> bool {
        self.quota.in_tree(team)
    }

    /// Whether a parked job may become placeable because the usage of the team `reduced` fell.
    pub(super) fn may_gain_from(&self, reduced: &Team, id: &JobId) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| self.quota.hierarchy.share_a_limit(reduced, &job.spec.team))
    }
}

/// The resources that must be placed together for a job to make progress: those of one task of an
/// array, or of all tasks of a gang or service.
fn resources_at_once(job: &Job) -> Resources {
    let tasks = match job.spec.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => job.record.tasks,
    };
    job.spec.resources.times(f64::from(tasks))
}

/// [`resources_at_once`] as the request that is checked against entitlements.
fn resource_request(job: &Job) -> ResourceRequest {
    ResourceRequest {
        total: resources_at_once(job).into(),
        task: job.spec.resources.into(),
    }
}

#[cfg(test)]
mod tests;
