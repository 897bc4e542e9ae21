//! The summary of the effective settings that `jaspertiller check` prints.

use std::fmt::{self, Display};

use super::{OperatorSettings, Settings};

/// Width to which names are padded, so that the values form a column.
const NAME_WIDTH: usize = 24;

fn write_line(out: &mut impl fmt::Write, name: &str, value: impl Display) -> fmt::Result {
    writeln!(out, "{name:<NAME_WIDTH$} {value}")
}

impl Settings {
    /// Returns the effective settings as text, one per line.
    #[must_use]
    pub fn summary(&self) -> String {
        let mut out = String::new();
        // Writing to a `String` can't fail.
        let _ = self.write_summary(&mut out);
        out
    }

    fn write_summary(&self, out: &mut impl fmt::Write) -> fmt::Result {
        self.write_addresses(out)?;
        self.write_deployment(out)?;
        self.operator.write_summary(out)?;
        self.write_quota_tree(out)
    }

    fn write_addresses(&self, out: &mut impl fmt::Write) -> fmt::Result {
        write_line(out, "label", &self.label)?;
        write_line(out, "zone", &self.zone)?;
        write_line(out, "public_addr", self.public_addr)?;
        write_line(out, "peer_bind", self.peer_bind)?;
        for member in &self.members {
            let value = format!("{} ({}) {}", member.label, member.zone, member.address);
            write_line(out, "member", value)?;
        }
        write_line(out, "state service", self.endpoints.store)?;
        write_line(out, "cloud", self.endpoints.cloud)
    }

    fn write_deployment(&self, out: &mut impl fmt::Write) -> fmt::Result {
        let deployment = &self.deployment;
        let zones: Vec<&str> = deployment.zones.iter().map(|zone| zone.as_str()).collect();
        write_line(out, "zones", zones.join(", "))?;
        for team in &deployment.teams {
            let value = format!(
                "{}: {} CPUs and {} GPUs guaranteed, at most {} and {} (0: none)",
                team.name, team.cpus, team.gpus, team.cpus_max, team.gpus_max
            );
            write_line(out, "team", value)?;
        }
        let lease_s = deployment.workers.lease_s;
        write_line(out, "worker lease", format_args!("{lease_s} s"))?;
        let (requests, writes) = (deployment.state.rps, deployment.state.write_rps);
        let value = format!("{requests} requests/s, {writes} changes/s");
        write_line(out, "state budget", value)?;
        let requests = deployment.cloud.rps;
        write_line(out, "cloud budget", format_args!("{requests} requests/s"))
    }

    fn write_quota_tree(&self, out: &mut impl fmt::Write) -> fmt::Result {
        if let Some(tree) = &self.quota_tree {
            let suffix = if tree.enabled { "" } else { ", switched off" };
            let (nodes, revision) = (tree.nodes.len(), tree.revision);
            let value = format!("revision {revision}, {nodes} nodes{suffix}");
            write_line(out, "tree of quotas", value)?;
        }
        for note in &self.tree_notes {
            write_line(out, "note", note.to_string())?;
        }
        Ok(())
    }
}

impl OperatorSettings {
    fn write_summary(&self, out: &mut impl fmt::Write) -> fmt::Result {
        let (first, max) = (self.backoff_first.secs(), self.backoff_max.secs());
        write_line(out, "back-off", format!("{first} s doubling to {max} s"))?;
        write_line(out, "flush", format!("{} s", self.flush.secs()))?;
        let (lease, margin) = (self.lease.secs(), self.stop_before.secs());
        let value = format!("{lease} s, no placing in its last {margin} s");
        write_line(out, "lease", value)?;
        write_line(out, "blocks per zone", self.shards_per_zone)?;
        write_line(out, "starts per token", self.starts_per_token)?;
        let value = format!("after {} s", self.idle_return.secs());
        write_line(out, "idle machines return", value)
    }
}
