//! State that the controllers of one process share.

mod board;
mod config_in_force;
mod members;
mod owner_directory;
mod ownership_deadlines;

pub use board::Blackboard;
pub use config_in_force::ConfigInForce;
pub use members::{
    Member,
    Members, //
};
pub use owner_directory::OwnerDirectory;
pub use ownership_deadlines::OwnershipDeadlines;
