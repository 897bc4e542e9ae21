//! What is in force, as `jaspertiller check` prints it.

use std::fmt::{self, Display};

use super::{OperatorSettings, Settings};

/// Width of the names, so that the values are in a column.
const NAME_WIDTH: usize = 24;

fn line(out: &mut impl fmt::Write, name: &str, value: impl Display) -> fmt::Result {
    writeln!(out, "{name:<NAME_WIDTH$} {value}")
}

impl Settings {
    /// What is in force, one setting a line.
    #[must_use]
    pub fn summary(&self) -> String {
        let mut out = String::new();
        // Writing to a text does not fail.
        let _ = self.write_summary(&mut out);
        out
    }

    fn write_summary(&self, out: &mut impl fmt::Write) -> fmt::Result {
        self.write_addresses(out)?;
        self.write_deployment(out)?;
        self.operator.write_summary(out)?;
        self.write_tree(out)
    }

    fn write_addresses(&self, out: &mut impl fmt::Write) -> fmt::Result {
        line(out, "label", &self.label)?;
        line(out, "zone", &self.zone)?;
        line(out, "public_addr", self.public_addr)?;
        line(out, "peer_bind", self.peer_bind)?;
        for member in &self.members {
            let value = format!("{} ({}) {}", member.label, member.zone, member.address);
            line(out, "member", value)?;
        }
        line(out, "state service", self.endpoints.store)?;
        line(out, "cloud", self.endpoints.cloud)
    }

    fn write_deployment(&self, out: &mut impl fmt::Write) -> fmt::Result {
        let deployment = &self.deployment;
        let zones: Vec<&str> = deployment.zones.iter().map(|zone| zone.as_str()).collect();
        line(out, "zones", zones.join(", "))?;
        for team in &deployment.teams {
            let value = format!(
                "{}: {} CPUs and {} GPUs guaranteed, at most {} and {} (0: none)",
                team.name, team.cpus, team.gpus, team.cpus_max, team.gpus_max
            );
            line(out, "team", value)?;
        }
        let lease_s = deployment.workers.lease_s;
        line(out, "worker lease", format_args!("{lease_s} s"))?;
        let (requests, writes) = (deployment.state.rps, deployment.state.write_rps);
        let value = format!("{requests} requests/s, {writes} changes/s");
        line(out, "state budget", value)?;
        let requests = deployment.cloud.rps;
        line(out, "cloud budget", format_args!("{requests} requests/s"))
    }

    fn write_tree(&self, out: &mut impl fmt::Write) -> fmt::Result {
        if let Some(tree) = &self.quota_tree {
            let state = if tree.enabled { "" } else { ", switched off" };
            let (nodes, revision) = (tree.nodes.len(), tree.revision);
            let value = format!("revision {revision}, {nodes} nodes{state}");
            line(out, "tree of quotas", value)?;
        }
        for note in &self.tree_notes {
            line(out, "note", note.to_string())?;
        }
        Ok(())
    }
}

impl OperatorSettings {
    fn write_summary(&self, out: &mut impl fmt::Write) -> fmt::Result {
        let (first, most) = (self.backoff_first.secs(), self.backoff_max.secs());
        line(out, "back-off", format!("{first} s doubling to {most} s"))?;
        line(out, "flush", format!("{} s", self.flush.secs()))?;
        let (lease, last) = (self.lease.secs(), self.stop_before.secs());
        let value = format!("{lease} s, no placing in its last {last} s");
        line(out, "lease", value)?;
        line(out, "blocks per zone", self.shards_per_zone)?;
        let value = format!("after {} s", self.idle_return.secs());
        line(out, "idle machines return", value)
    }
}
