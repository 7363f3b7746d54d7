//! State shared by the controllers of one process.

mod board;
mod directory;
mod in_force;
mod members;
mod owned;

pub use board::Blackboard;
pub use directory::Directory;
pub use in_force::InForce;
pub use members::{
    Member,
    Members, //
};
pub use owned::Owned;
