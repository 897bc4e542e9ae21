//! Team guarantees and limits.
//!
//! A team's limit holds across controllers because every placement of a limited team writes the
//! team's record on condition that it has not changed: whoever places knows of all placements
//! made before, since the watch brings changes in the order in which they were made.

use crate::settings::TeamSettings;
use crate::types::{Room, Team};

pub const TEAMS: &str = "jt/team/";

pub fn team_key(team: &Team) -> String {
    format!("{TEAMS}{team}")
}

fn under(amount: f64, most: f64) -> bool {
    most <= 0.0 || amount <= most + 1e-6
}

/// Whether a team that uses `room` keeps its limit.
pub fn within(room: Room, team: &TeamSettings) -> bool {
    under(room.cpus, team.cpus_max) && under(room.gpus, team.gpus_max)
}

/// Whether a team that uses `room` stays within what is guaranteed to it.
pub fn guaranteed(room: Room, team: &TeamSettings) -> bool {
    (team.cpus > 0.0 || team.gpus > 0.0)
        && under(room.cpus, team.cpus)
        && under(room.gpus, team.gpus)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_and_guarantees() {
        let team = |cpus, cpus_max, gpus, gpus_max| TeamSettings {
            name: "a".into(),
            cpus,
            cpus_max,
            gpus,
            gpus_max,
        };
        let room = |cpus, gpus| Room {
            cpus,
            gpus,
            memory_gb: 1e9,
        };
        let cases = [
            // team, use, within the limit, within the guarantee
            (team(0.0, 0.0, 0.0, 0.0), room(1e6, 1e6), true, false),
            (team(0.0, 0.0, 16.0, 48.0), room(1e6, 16.0), true, true),
            (team(0.0, 0.0, 16.0, 48.0), room(1.0, 17.0), true, false),
            (team(0.0, 0.0, 16.0, 48.0), room(1.0, 48.5), false, false),
            (team(4.0, 8.0, 0.0, 0.0), room(9.0, 0.0), false, false),
        ];
        for (team, used, limit, guarantee) in cases {
            assert_eq!(within(used, &team), limit, "{used:?} of {team:?}");
            assert_eq!(guaranteed(used, &team), guarantee, "{used:?} of {team:?}");
        }
    }
}
