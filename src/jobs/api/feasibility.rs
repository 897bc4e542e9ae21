//! Checks that a job can ever run on the existing machine types and zones and within its team's quota.

use std::collections::BTreeSet;

use super::RejectionReason;
use crate::fleet::MachineTypeSpec;
use crate::jobs::{JobKind, JobSpec};
use crate::settings::Settings;
use crate::types::Zone;

/// Accepts a job that can run at some time, whether or not it can run now. Drops the allowed machine
/// types that don't exist, so that the record stays small whatever the user listed.
///
/// # Errors
/// The reason why the job can never run.
pub fn check_feasibility(
    mut spec: JobSpec,
    settings: &Settings,
    type_specs: &[MachineTypeSpec],
) -> Result<JobSpec, RejectionReason> {
    let infeasible = |reason: String| Err(RejectionReason::Infeasible(reason));
    let Some(team) = settings.team(&spec.team) else {
        return infeasible(format!("crew: no team is called {}", spec.team));
    };
    if let Some(machine_types) = &mut spec.machine_types {
        machine_types
            .retain(|machine_type| type_specs.iter().any(|known| known.id == *machine_type));
        machine_types.dedup();
    }
    let zones = feasible_zones(&spec, type_specs);
    if zones.is_empty() {
        return infeasible("a task fits no allowed machine type".into());
    }
    let confined_to_one_zone = spec.one_zone || zones.len() == 1;
    if spec.kind != JobKind::Array
        && spec.spread
        && confined_to_one_zone
        && spec.max_tasks_per_zone() < spec.tasks
    {
        return infeasible("spread: all tasks would have to be in one zone".into());
    }
    let concurrent_tasks = match spec.kind {
        JobKind::Array => 1,
        JobKind::Gang | JobKind::Service => spec.tasks,
    };
    if !crate::quota::within_limit(spec.resources.times(f64::from(concurrent_tasks)), team) {
        return infeasible(format!(
            "the job needs more than the limit of {}",
            spec.team
        ));
    }
    Ok(spec)
}

/// The zones with an allowed machine type that a task fits on.
fn feasible_zones<'a>(spec: &JobSpec, type_specs: &'a [MachineTypeSpec]) -> BTreeSet<&'a Zone> {
    type_specs
        .iter()
        .filter(|machine_type| spec.resources.fits_in(machine_type.resources))
        .flat_map(|machine_type| {
            machine_type
                .zones
                .iter()
                .map(|zone| (&machine_type.id, zone))
        })
        .filter(|(machine_type, zone)| spec.allows(machine_type, zone, false))
        .map(|(_, zone)| zone)
        .collect()
}
