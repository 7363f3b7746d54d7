//! Decides where a scatter-gather query runs: at the process that received it, or at an aggregator, a process
//! that gathers the parts for others and sends them one merged answer.
//!
//! Answers this load: hundreds of processes each get a query every few seconds and send each one to a hundred
//! targets. Connections then idle out between two queries, parts cross zones, and a small processor handles a
//! burst of a hundred replies at once. A few aggregators near the targets keep their connections warm. With
//! few processes every connection is warm, and the second hop does not pay.
//!
//! Demand is uneven: a kind of query or a zone may get several times its rate within a second. More processes then
//! aggregate, by the load that they report, and fewer again when it ends.

mod aggregator_load;
mod aggregator_use;
mod choice;
mod chooser;
mod connection_share;
mod directory;
mod peer_ejection;
mod query_rate;
mod zone_load;

pub use self::{
    aggregator_load::{
        AggregatorLoad,
        OwnObservation, //
    },
    aggregator_use::{
        AggregatorUse,
        Urgency, //
    },
    choice::{
        AggregatorChoice,
        Place, //
    },
    chooser::AggregatorChooser,
    connection_share::connections_limit,
    directory::{
        AggregatorDirectory,
        AggregatorNode, //
    },
    peer_ejection::PeerEjection,
    query_rate::QueryRate, //
};
