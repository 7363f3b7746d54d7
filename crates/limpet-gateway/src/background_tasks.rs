//! Tasks that run beside those that started them and end with the process.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

use tokio::task::{
    AbortHandle,
    JoinSet, //
};

/// Tasks that run beside those that started them. Their owner joins them all at its end.
#[derive(Debug)]
pub struct BackgroundTasks {
    /// `None` once the owner has ended.
    tasks: Mutex<Option<JoinSet<()>>>,
}

impl Default for BackgroundTasks {
    fn default() -> Self {
        Self::new()
    }
}

impl BackgroundTasks {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self {
            tasks: Mutex::new(Some(JoinSet::new())),
        }
    }

    fn tasks(&self) -> MutexGuard<'_, Option<JoinSet<()>>> {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a task; returns `None` without starting it once the owner has ended.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> Option<AbortHandle> {
        let mut tasks = self.tasks();
        if let Some(tasks) = tasks.as_mut() {
            while tasks.try_join_next().is_some() {}
            return Some(tasks.spawn(task));
        }
        // A task that is dropped may start others in its destructors.
        drop(tasks);
        drop(task);
        None
    }

    /// Cancels all tasks and waits until they have ended; no task is started from then on.
    pub async fn stop(&self) {
        let tasks = self.tasks().take();
        if let Some(mut tasks) = tasks {
            tasks.shutdown().await;
        }
    }
}
