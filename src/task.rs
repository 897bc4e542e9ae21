//! Ownership of background tasks.

use std::future::Future;

use tokio::task::JoinHandle;

/// A spawned task that ends with its owner.
#[derive(Debug)]
pub struct OwnedTask<T>(JoinHandle<T>);

impl<T: Send + 'static> OwnedTask<T> {
    /// Spawns the task on the current runtime.
    pub fn spawn(task: impl Future<Output = T> + Send + 'static) -> Self {
        Self(tokio::spawn(task))
    }
}

impl<T> OwnedTask<T> {
    /// Waits until the task ends; may be cancelled and called again until it has returned.
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
