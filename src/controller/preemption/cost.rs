//! Which tasks may be stopped for a job, by which rule, and how much work that wastes.

use crate::controller::Controller;
use crate::jobs::JobKind;
use crate::jobs::cache::Job;
use crate::quota;
use crate::types::Millis;

/// A job within its team's guarantee may stop another team's service replicas after it has waited
/// this long: users notice stopped replicas, and array tasks usually free resources sooner.
const REPLICA_PREEMPTION_DELAY: Millis = Millis(20_000);

/// Seconds that the restart of a task takes in addition to its image fetch.
const RESTART_S: f64 = 2.0;
/// Seconds that stopping a task takes in addition to saving its checkpoint.
const STOP_OVERHEAD_S: f64 = 5.0;
/// Lower bound, in seconds, of the work that a task without checkpoints is assumed to lose.
const MIN_LOST_WORK_S: f64 = 120.0;
/// Seconds within which a job without an objective is assumed to be due.
const DEFAULT_DUE_S: f64 = 600.0;
/// Weight of the work of a job that is not late at all.
const BASE_LATENESS: f64 = 0.5;

/// The job for which resources are freed.
#[derive(Clone, Copy)]
pub(super) struct Preemptor<'a> {
    pub(super) job: &'a Job,
    /// Whether its next placement is within its team's guarantee.
    pub(super) within_guarantee: bool,
}

/// By which rules a task may be stopped for a job.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Preemptibility {
    /// Whether it may be stopped by priority or by the teams' flat guarantees, regardless of the
    /// quota tree.
    pub(super) unconditional: bool,
    /// Whether it may be stopped as far as the quota tree allows, which the ledger decides.
    pub(super) by_quota_tree: bool,
}

impl Controller {
    /// The job as one for which resources are freed.
    pub(super) fn preemptor<'a>(&self, job: &'a Job) -> Preemptor<'a> {
        Preemptor {
            job,
            within_guarantee: !self.queue_key(job).beyond_guarantee,
        }
    }

    /// By which rules a task of `victim` may be stopped for a job.
    pub(super) fn preemptibility(&self, preemptor: Preemptor, victim: &Job) -> Preemptibility {
        let job = preemptor.job;
        let lower_priority = victim.spec.priority < job.spec.priority;
        let waited_long = self.now.since(job.last_placement_change) > REPLICA_PREEMPTION_DELAY;
        let by_guarantee = preemptor.within_guarantee
            && (victim.spec.kind != JobKind::Service || waited_long)
            && victim.spec.team != job.spec.team;
        let in_tree = self.in_tree(&job.spec.team) && self.in_tree(&victim.spec.team);
        Preemptibility {
            unconditional: lower_priority
                || by_guarantee && !in_tree && self.exceeds_flat_guarantee(victim),
            by_quota_tree: by_guarantee && in_tree,
        }
    }

    /// Whether a job's team still uses its whole flat guarantee after one task of the job has left.
    fn exceeds_flat_guarantee(&self, job: &Job) -> bool {
        self.settings.team(&job.spec.team).is_some_and(|team| {
            let remaining_usage = self.jobs.usage(&team.name).minus(job.spec.resources);
            !quota::within_guarantee(remaining_usage, team)
        })
    }

    /// Whether any team uses more than its flat guarantee.
    pub(super) fn any_team_borrows(&self) -> bool {
        let mut teams = self.settings.deployment.teams.iter();
        teams.any(|team| !quota::within_guarantee(self.jobs.usage(&team.name), team))
    }

    /// Seconds of a machine's time that stopping a task wastes: its checkpoint, or its work so far,
    /// and its restart. Tasks of late or long jobs count for more, since a further delay harms them
    /// most.
    pub(in crate::controller) fn wasted_machine_s(&self, victim: &Job) -> f64 {
        let spec = &victim.spec;
        let capacity = self
            .autoscaler
            .type_specs
            .first()
            .map(|spec| spec.resources);
        let machine_share = spec
            .resources
            .dominant_share(capacity.unwrap_or(spec.resources));
        let lost_s = if spec.is_cheap_to_kill() {
            spec.checkpoint_s / 2.0 + RESTART_S
        } else if spec.checkpoint_s > 0.0 {
            spec.save_s + STOP_OVERHEAD_S
        } else {
            spec.estimate_s.max(MIN_LOST_WORK_S)
        };
        let age_s = self.now.since(victim.first_seen).secs();
        let due_s = spec.due_s.unwrap_or(DEFAULT_DUE_S).max(1.0);
        let lateness = (age_s + spec.estimate_s) / due_s;
        lost_s * machine_share * (BASE_LATENESS + lateness)
    }
}
