//! History of what callers and targets observed: JSON lines, one record a line.

mod answer;
mod record;

pub use answer::{
    Answer,
    BodyParts,
    Coverage,
    Range,
    ShardResult, //
};
pub use record::{
    Change,
    ProcessChange,
    Record,
    read, //
};
