//! History of what callers and targets observed: one JSON record a line.

mod record;
mod response_body;

pub use record::{
    ConfigChange,
    HistoryRecord,
    ProcessChange,
    parse_history, //
};
pub use response_body::{
    BodyParts,
    Coverage,
    ResponseBody,
    ShardRange,
    ShardResult, //
};
