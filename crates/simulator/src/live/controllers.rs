//! The controllers of a live region, which are real daemon processes.
//!
//! [`Controllers`] owns the processes and a temporary directory with their settings and logs; dropping it kills
//! the processes and removes the directory. The processes run this program's own executable, whose `controller`
//! subcommand is the daemon's command line.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::Context;

use super::SharedRegion;
use super::http::listen;
use crate::config::Config;

/// Number of log lines that are shown when a controller fails.
const LOG_TAIL_LINES: usize = 5;

/// The controller processes, by index.
pub struct Controllers {
    folder: PathBuf,
    operator_settings: Option<PathBuf>,
    children: Vec<Option<Child>>,
    /// The address at which each controller serves users and workers.
    pub addresses: Vec<SocketAddr>,
}

/// An address that was free when it was tried; another process may take it before it is used.
fn free_address() -> std::io::Result<SocketAddr> {
    listen()?.local_addr()
}

fn settings_path(folder: &Path, index: usize) -> PathBuf {
    folder.join(format!("n{index}.json"))
}

impl Controllers {
    /// Serves store and cloud for each controller and writes the controllers' settings, without starting a
    /// process. `operator` is the path of the operator settings passed to all controllers.
    ///
    /// # Errors
    /// An address can't be opened or a file can't be written.
    pub fn prepare(
        config: &Config,
        seed: u64,
        operator: Option<&Path>,
    ) -> anyhow::Result<(Self, SharedRegion)> {
        let mut addresses = Vec::new();
        for _ in 0..config.controllers {
            addresses.push((free_address()?, free_address()?));
        }
        let public: Vec<SocketAddr> = addresses.iter().map(|(public, _)| *public).collect();
        let shared = SharedRegion::new(config.clone(), seed, public.clone());
        let folder = std::env::temp_dir().join(format!("cluster-simulator-{}", std::process::id()));
        fs::create_dir_all(&folder).with_context(|| folder.display().to_string())?;
        for index in 0..config.controllers {
            let (store, cloud) = (listen()?, listen()?);
            let (store_address, cloud_address) = (store.local_addr()?, cloud.local_addr()?);
            let settings = config.settings(index, &addresses, cloud_address, store_address);
            let file = settings_path(&folder, index);
            fs::write(&file, settings.to_string())?;
            shared.serve_services(index, store, cloud);
        }
        let controllers = Self {
            folder,
            operator_settings: operator.map(Path::to_path_buf),
            children: (0..config.controllers).map(|_| None).collect(),
            addresses: public,
        };
        Ok((controllers, shared))
    }

    /// Path of a controller's settings file.
    #[must_use]
    pub fn settings_path(&self, index: usize) -> PathBuf {
        settings_path(&self.folder, index)
    }

    fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("n{index}.log"))
    }

    /// Starts a controller's process, which appends to its log. The previous process must be gone.
    ///
    /// # Errors
    /// The log can't be opened or the process can't be started.
    pub fn start(&mut self, index: usize) -> anyhow::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path(index))?;
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("controller").arg("serve").arg("--config");
        command.arg(self.settings_path(index));
        if let Some(operator) = &self.operator_settings {
            command.arg("--operator").arg(operator);
        }
        // The controller exits when its standard input closes, so that it never outlives this process.
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log);
        self.children[index] = Some(
            command
                .spawn()
                .context("failed to start a controller process")?,
        );
        Ok(())
    }

    /// Starts the processes of all controllers, in the order of their indices.
    ///
    /// # Errors
    /// A process can't be started; the controllers after it are not started.
    pub fn start_all(&mut self) -> anyhow::Result<()> {
        (0..self.children.len()).try_for_each(|index| self.start(index))
    }

    /// Kills a controller's process, if there is one, and waits until it has exited.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            // Both fail only if the process has already exited and been waited for.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Process ID of a controller; `None` if it was not started or was killed.
    #[must_use]
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.children[index].as_ref().map(Child::id)
    }

    /// Indices of controllers that exited without being killed, on every call until a restart or kill.
    pub fn exited(&mut self) -> Vec<usize> {
        let has_exited = |child: &mut Option<Child>| {
            let child = child.as_mut();
            child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        let children = self.children.iter_mut().enumerate();
        let exited = children.filter_map(|(index, child)| has_exited(child).then_some(index));
        exited.collect()
    }

    /// The last few lines of a controller's log; empty if it can't be read.
    #[must_use]
    pub fn log_tail(&self, index: usize) -> String {
        let text = fs::read_to_string(self.log_path(index)).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|index| self.kill(index));
        let _ = fs::remove_dir_all(&self.folder);
    }
}
