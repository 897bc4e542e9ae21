//! Admission: in which order what is scarce goes to whom. Its decisions are in `crates/admission`.

pub mod backlog;
pub mod shared;

use admission_control::slots::{Slot, Slots};

use crate::jobs::JobSpec;
use crate::settings::Settings;

/// A class and a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    pub class: Slot,
    pub team: Slot,
}

/// The classes and teams that have floors of their own.
#[derive(Debug)]
pub struct Flows {
    classes: Slots,
    teams: Slots,
}

impl Flows {
    pub fn new(settings: &Settings) -> Self {
        let deployment = &settings.deployment;
        let classes = deployment.objectives.iter().filter_map(|o| o.class.clone());
        let teams = deployment.teams.iter().map(|team| team.name.to_string());
        Self {
            classes: Slots::new(classes),
            teams: Slots::new(teams),
        }
    }

    pub fn of(&self, spec: &JobSpec) -> Flow {
        Flow {
            class: self.classes.of(&spec.class),
            team: self.teams.of(spec.team.as_str()),
        }
    }
}
