//! List of the running controllers of a process, by which the process stops them. A controller is an
//! actor that does one continuous task, for example gossip or the renewal of a lease.

use ractor::ActorCell;
use tokio::task::JoinHandle;

/// Running controllers in the order of their start.
#[derive(Debug, Default)]
pub struct Controllers {
    running: Vec<(&'static str, ActorCell, JoinHandle<()>)>,
}

impl Controllers {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a running controller; `name` identifies it in logs.
    pub fn add(&mut self, name: &'static str, actor: ActorCell, handle: JoinHandle<()>) {
        self.running.push((name, actor, handle));
    }

    /// Stops every controller, the last started first, and waits for the end of each.
    ///
    /// A controller may send messages to those started before it, so it stops before them.
    pub async fn stop(mut self) {
        while let Some((name, actor, handle)) = self.running.pop() {
            actor.stop(Some("shutdown".into()));
            if let Err(error) = handle.await {
                tracing::error!(name, %error, "controller task failed");
            }
        }
    }
}
