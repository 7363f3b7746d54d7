//! What a test observed from outside: one JSON object a line.

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
