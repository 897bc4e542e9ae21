//! The controllers of a live region: processes of the real daemon.
//!
//! [`Controllers`] owns the processes and a temporary folder with their settings and logs; both are gone when
//! it is dropped. The processes run this program's own executable, whose `controller` subcommand is the
//! daemon's command line.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use anyhow::Context;

use super::SharedRegion;
use super::http::listen;
use crate::config::Config;

/// Lines of a controller's log that are shown when it fails.
const LOG_TAIL_LINES: usize = 5;

/// The controllers' processes, by the controllers' indices.
pub struct Controllers {
    folder: PathBuf,
    operator: Option<PathBuf>,
    children: Vec<Option<Child>>,
    /// Where each controller answers users and workers.
    pub addresses: Vec<SocketAddr>,
}

/// An address that was free when it was looked for.
fn free_address() -> std::io::Result<SocketAddr> {
    listen()?.local_addr()
}

fn settings_path(folder: &Path, index: usize) -> PathBuf {
    folder.join(format!("n{index}.json"))
}

impl Controllers {
    /// Serves store and cloud for each controller and writes the controllers' settings. No process is
    /// started. `operator` is the path of the operator settings that all controllers get.
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
            operator: operator.map(Path::to_path_buf),
            children: (0..config.controllers).map(|_| None).collect(),
            addresses: public,
        };
        Ok((controllers, shared))
    }

    /// The file with a controller's settings.
    #[must_use]
    pub fn settings_path(&self, index: usize) -> PathBuf {
        settings_path(&self.folder, index)
    }

    fn log_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("n{index}.log"))
    }

    /// Starts a controller's process, which appends to its log.
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
        if let Some(operator) = &self.operator {
            command.arg("--operator").arg(operator);
        }
        // The process exits when its end of the pipe closes, so that it never outlives this program.
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log);
        self.children[index] = Some(command.spawn().context("a controller can't be started")?);
        Ok(())
    }

    /// Starts the processes of all controllers.
    ///
    /// # Errors
    /// One of them can't be started.
    pub fn start_all(&mut self) -> anyhow::Result<()> {
        (0..self.children.len()).try_for_each(|index| self.start(index))
    }

    /// Kills a controller's process, if it runs, and waits until it is gone.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            // Both fail only if the process has exited and was waited for.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The process ID of a controller that was started and not killed.
    #[must_use]
    pub fn pid(&self, index: usize) -> Option<u32> {
        self.children[index].as_ref().map(Child::id)
    }

    /// Controllers whose processes exited without being killed.
    pub fn exited(&mut self) -> Vec<usize> {
        let has_exited = |child: &mut Option<Child>| {
            let child = child.as_mut();
            child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        let children = self.children.iter_mut().enumerate();
        let exited = children.filter_map(|(index, child)| has_exited(child).then_some(index));
        exited.collect()
    }

    /// The last lines of a controller's log.
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
