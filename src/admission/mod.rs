//! Admission control: which writes go first when write capacity is scarce. The decisions are pure
//! functions in `crates/admission-control`; this module applies them to jobs and to the store's write
//! limit.
//!
//! [`backlog`] orders the commits of task changes on this controller, [`shared`] has the plan that
//! divides the store's write limit among controllers, and [`Flows`] maps jobs to the slots of their
//! classes and teams.

pub mod backlog;
pub mod shared;

use admission_control::slots::{Slot, Slots};

use crate::jobs::JobSpec;
use crate::settings::Settings;

/// The class and the team of a job, each by its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// The class's slot.
    pub class: Slot,
    /// The team's slot.
    pub team: Slot,
}

/// The classes and teams that have slots, and so floors, of their own.
#[derive(Debug)]
pub struct Flows {
    classes: Slots,
    teams: Slots,
}

impl Flows {
    /// The classes with an objective, and the teams of the deployment.
    pub fn new(settings: &Settings) -> Self {
        let deployment = &settings.deployment;
        let objectives = deployment.objectives.iter();
        let classes = objectives.filter_map(|objective| objective.class.clone());
        let teams = deployment.teams.iter().map(|team| team.name.to_string());
        Self {
            classes: Slots::new(classes),
            teams: Slots::new(teams),
        }
    }

    /// The flow that a job belongs to.
    pub fn of(&self, spec: &JobSpec) -> Flow {
        Flow {
            class: self.classes.of(&spec.class),
            team: self.teams.of(spec.team.as_str()),
        }
    }
}
