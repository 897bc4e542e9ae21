//! Background tasks that are bound to the lifetime of an owner.

use std::future::Future;

use tokio::task::JoinHandle;

/// A handle to a spawned task, which is aborted when the handle is dropped.
#[derive(Debug)]
pub struct OwnedTask<T>(JoinHandle<T>);

impl<T: Send + 'static> OwnedTask<T> {
    /// Spawns a task.
    ///
    /// # Panics
    /// If called outside of a Tokio runtime.
    pub fn spawn(task: impl Future<Output = T> + Send + 'static) -> Self {
        Self(tokio::spawn(task))
    }
}

impl<T> OwnedTask<T> {
    /// Waits until the task ends, and returns its result. Cancel safe, so it may be used in `select!`; must not be
    /// called again once it has returned.
    ///
    /// # Errors
    /// The task panicked.
    pub async fn join(&mut self) -> Result<T, tokio::task::JoinError> {
        (&mut self.0).await
    }
}

impl<T> Drop for OwnedTask<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
