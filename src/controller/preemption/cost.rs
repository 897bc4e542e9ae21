//! Which tasks may be stopped for a job, on what grounds, and how much work that wastes.

use crate::controller::Controller;
use crate::jobs::JobKind;
use crate::jobs::cache::Job;
use crate::quota;
use crate::types::Millis;

/// A job within its team's guarantee may stop another team's service replicas after it waited this
/// long: users notice stopped replicas, and array tasks usually make room sooner.
const REPLICA_PREEMPTION_DELAY: Millis = Millis(20_000);

/// Seconds that the restart of a task takes besides its fetch.
const RESTART_S: f64 = 2.0;
/// Seconds that stopping a task takes besides its save.
const STOP_OVERHEAD_S: f64 = 5.0;
/// A task without checkpoints is taken to have done so much work at least.
const MIN_LOST_WORK_S: f64 = 120.0;
/// Seconds in which a job is taken to be due that has no objective.
const DEFAULT_DUE_S: f64 = 600.0;
/// Weight of the work of a job that is not late at all.
const BASE_LATENESS: f64 = 0.5;

/// The job that room is made for.
#[derive(Clone, Copy)]
pub(super) struct Preemptor<'a> {
    /// The job.
    pub(super) job: &'a Job,
    /// What it would place next lies within its team's guarantee.
    pub(super) within_guarantee: bool,
}

/// On what grounds a task may be stopped for a job.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Preemptibility {
    /// By priority, or by the teams' flat guarantees: whatever the quota tree says.
    pub(super) unconditional: bool,
    /// As far as the quota tree allows, which the ledger judges.
    pub(super) by_quota_tree: bool,
}

impl Controller {
    /// The job as one that room is made for.
    pub(super) fn preemptor<'a>(&self, job: &'a Job) -> Preemptor<'a> {
        Preemptor {
            job,
            within_guarantee: !self.order(job).beyond_guarantee,
        }
    }

    /// On what grounds a task of `victim` may be stopped for a job.
    pub(super) fn preemptibility(&self, preemptor: Preemptor, victim: &Job) -> Preemptibility {
        let job = preemptor.job;
        let lower_priority = victim.spec.priority < job.spec.priority;
        let waited = self.now.since(job.settled) > REPLICA_PREEMPTION_DELAY;
        let by_guarantee = preemptor.within_guarantee
            && (victim.spec.kind != JobKind::Service || waited)
            && victim.spec.team != job.spec.team;
        let in_tree = self.in_tree(&job.spec.team) && self.in_tree(&victim.spec.team);
        Preemptibility {
            unconditional: lower_priority
                || by_guarantee && !in_tree && self.exceeds_flat_guarantee(victim),
            by_quota_tree: by_guarantee && in_tree,
        }
    }

    /// Whether a job's team still uses its whole flat guarantee when one task of it has left.
    fn exceeds_flat_guarantee(&self, job: &Job) -> bool {
        self.settings.team(&job.spec.team).is_some_and(|team| {
            let left = self.jobs.usage(&team.name).minus(job.spec.resources);
            !quota::guaranteed(left, team)
        })
    }

    /// Whether any team uses more than its flat guarantee.
    pub(super) fn any_team_borrows(&self) -> bool {
        let mut teams = self.settings.deployment.teams.iter();
        teams.any(|team| !quota::guaranteed(self.jobs.usage(&team.name), team))
    }

    /// Seconds of a machine's time that stopping a task wastes: its save, or its work so far, and
    /// its restart. Tasks of jobs that are late, or long, count for more, since they can afford it
    /// least.
    pub(in crate::controller) fn waste(&self, victim: &Job) -> f64 {
        let spec = &victim.spec;
        let capacity = self
            .autoscaler
            .type_specs
            .first()
            .map(|spec| spec.resources);
        let machine_share = spec.resources.share_of(capacity.unwrap_or(spec.resources));
        let lost_s = if spec.cheap_to_kill() {
            spec.checkpoint_s / 2.0 + RESTART_S
        } else if spec.checkpoint_s > 0.0 {
            spec.save_s + STOP_OVERHEAD_S
        } else {
            spec.estimate_s.max(MIN_LOST_WORK_S)
        };
        let age_s = self.now.since(victim.born).secs();
        let due_s = spec.due_s.unwrap_or(DEFAULT_DUE_S).max(1.0);
        let lateness = (age_s + spec.estimate_s) / due_s;
        lost_s * machine_share * (BASE_LATENESS + lateness)
    }
}
