//! Real controllers: processes of the daemon, killed and started again.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::Context;

use super::Shared;
use super::http::listen;
use crate::config::Config;

pub struct Controllers {
    folder: PathBuf,
    operator: Option<PathBuf>,
    children: Vec<Option<Child>>,
    pub addresses: Vec<SocketAddr>,
}

fn free_address() -> std::io::Result<SocketAddr> {
    listen()?.local_addr()
}

impl Controllers {
    /// Opens the region's services for each controller and writes their settings. The processes
    /// are this program's own, in its guise as the daemon.
    pub fn prepare(
        config: &Config,
        seed: u64,
        operator: Option<&Path>,
    ) -> anyhow::Result<(Self, Shared)> {
        let mut addresses = Vec::new();
        for _ in 0..config.controllers {
            addresses.push((free_address()?, free_address()?));
        }
        let public: Vec<SocketAddr> = addresses.iter().map(|(public, _)| *public).collect();
        let shared = Shared::new(config.clone(), seed, public.clone());
        let folder = std::env::temp_dir().join(format!("tiller-region-{}", std::process::id()));
        fs::create_dir_all(&folder).with_context(|| folder.display().to_string())?;
        for index in 0..config.controllers {
            let (state, cloud) = (listen()?, listen()?);
            let (to_state, to_cloud) = (state.local_addr()?, cloud.local_addr()?);
            let settings = config.settings(index, &addresses, to_cloud, to_state);
            let file = folder.join(format!("n{index}.json"));
            fs::write(&file, settings.to_string())?;
            shared.serve_services(index, state, cloud)?;
        }
        let controllers = Self {
            folder,
            operator: operator.map(Path::to_path_buf),
            children: (0..config.controllers).map(|_| None).collect(),
            addresses: public,
        };
        Ok((controllers, shared))
    }

    pub fn settings(&self, index: usize) -> PathBuf {
        self.folder.join(format!("n{index}.json"))
    }

    pub fn start(&mut self, index: usize) -> anyhow::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("n{index}.log")))?;
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("controller").arg("serve").arg("--config");
        command.arg(self.settings(index));
        if let Some(operator) = &self.operator {
            command.arg("--operator").arg(operator);
        }
        // It ends when this end of the pipe is gone, however this program ends.
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log);
        self.children[index] = Some(command.spawn().context("a controller can't be started")?);
        Ok(())
    }

    pub fn start_all(&mut self) -> anyhow::Result<()> {
        (0..self.children.len()).try_for_each(|index| self.start(index))
    }

    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The process of a controller, if it runs.
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.children[index].as_ref().map(Child::id)
    }

    /// Controllers that ended by themselves.
    pub fn ended(&mut self) -> Vec<usize> {
        let ended = |child: &mut Option<Child>| {
            let child = child.as_mut();
            child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        let children = self.children.iter_mut().enumerate();
        let ended = children.filter_map(|(index, child)| ended(child).then_some(index));
        ended.collect()
    }

    /// The last lines of a controller's log.
    pub fn log(&self, index: usize) -> String {
        let file = self.folder.join(format!("n{index}.log"));
        let text = fs::read_to_string(file).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(5)..].join("\n")
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|index| self.kill(index));
        let _ = fs::remove_dir_all(&self.folder);
    }
}
