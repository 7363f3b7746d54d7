//! The actors of a process, stopped and joined by their parent.

use ractor::ActorCell;
use tokio::task::JoinHandle;

/// Actors in the order of their start.
#[derive(Debug, Default)]
pub struct Controllers {
    running: Vec<(&'static str, ActorCell, JoinHandle<()>)>,
}

impl Controllers {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a running actor.
    pub fn add(&mut self, name: &'static str, actor: ActorCell, handle: JoinHandle<()>) {
        self.running.push((name, actor, handle));
    }

    /// Stops every actor, last started first, and waits for each.
    pub async fn stop(mut self) {
        while let Some((name, actor, handle)) = self.running.pop() {
            actor.stop(Some("shutdown".into()));
            if let Err(error) = handle.await {
                tracing::error!(name, %error, "controller ended badly");
            }
        }
    }
}
