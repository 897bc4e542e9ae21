//! The machines that cycles choose from.
//!
//! [`Candidates`] owns the index of available capacity. The controller keeps it up to date
//! (`refresh`), determines which machines may be used and how much of each is available
//! (`eligibility`), and chooses the machine for a task (`choose`).

mod choose;
mod eligibility;
mod refresh;

use crate::cycle::index::{CapacityIndex, MachineGroup};
use crate::jobs::JobSpec;
use crate::types::{MachineId, Millis, Zone};

/// The machines that a cycle considers, by the holder of their shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MachineScope {
    /// Those in shards that this controller holds.
    Own,
    /// Those in shards that other controllers hold.
    Others,
    /// The whole fleet.
    All,
}

/// Which machines may be chosen for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct MachineQuery<'a> {
    /// The holders whose machines may be chosen.
    pub(super) scope: MachineScope,
    /// Only machines of this zone; `None` for any zone.
    pub(super) zone: Option<&'a Zone>,
    /// The number of tasks that the team's limit has to allow for the leader to raise shards' quota
    /// allocations; `None`: allocations are not raised, and tasks have to fit them as they are.
    pub(super) raise_quota_for: Option<u32>,
}

impl MachineQuery<'_> {
    /// Machines of a scope, in any zone, whose shards' quota allocations are not raised.
    pub(super) fn within(scope: MachineScope) -> Self {
        Self {
            scope,
            zone: None,
            raise_quota_for: None,
        }
    }
}

/// Machines that can take tasks, by what is available on them.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    /// When all machines were last compared with the index.
    swept_at: Millis,
    /// Whether more machines are empty than the headroom for urgent work needs.
    pub(super) spare_empty_machines: bool,
    /// The index of available capacity.
    pub(super) index: CapacityIndex,
    /// Machines that changed in something other than their allocation since the last refresh.
    pub(super) changed_machines: Vec<MachineId>,
}

impl Candidates {
    /// Groups of machines that a job allows, within a scope and a zone.
    pub(super) fn groups(
        &self,
        spec: &JobSpec,
        scope: MachineScope,
        zone: Option<&Zone>,
    ) -> Vec<&MachineGroup> {
        let in_scope = |group: &&MachineGroup| match scope {
            MachineScope::Own => group.own,
            MachineScope::Others => !group.own,
            MachineScope::All => true,
        };
        let allowed = |group: &&MachineGroup| {
            zone.is_none_or(|zone| group.zone() == zone)
                && spec.allows(&group.machine_type, group.zone(), group.spot)
        };
        self.index
            .groups()
            .filter(in_scope)
            .filter(allowed)
            .collect()
    }
}

#[cfg(test)]
mod tests;
