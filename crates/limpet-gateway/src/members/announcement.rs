//! Announcement of a process as a possible aggregator, in a UDP datagram of its own.
//!
//! A process of an earlier release, which does not know announcements, cannot decode it and ignores it.

use std::net::SocketAddr;

use limpet_decide::aggregator::AggregatorNode;
use limpet_types::codec::{
    self,
    CodecError, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::settings::Settings;

/// First byte of the datagram. No report begins with it, since it begins no encoded number.
const MARKER: u8 = 0xff;

/// What a process announces about itself when it starts and in its complete reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Address at which the process receives reports and requests of other processes.
    pub addr: SocketAddr,
    /// Availability zone of the process.
    pub zone: Box<str>,
    /// Processor capacity of the process, in cores.
    pub capacity_cores: f64,
}

impl Announcement {
    /// Returns what a process with these settings announces about itself.
    pub fn of(settings: &Settings) -> Self {
        Self {
            addr: settings.peer_addr,
            zone: settings.zone.clone(),
            capacity_cores: settings.capacity_cores,
        }
    }

    /// Returns whether a datagram holds an announcement rather than a report.
    pub fn is_announcement(datagram: &[u8]) -> bool {
        datagram.first() == Some(&MARKER)
    }

    /// Encodes the announcement as a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the announcement cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        let mut datagram = vec![MARKER];
        datagram.extend(codec::encode(self)?);
        Ok(datagram)
    }

    /// Decodes a datagram for which [`Announcement::is_announcement`] is true.
    ///
    /// # Errors
    ///
    /// Fails unless the datagram is exactly one announcement.
    pub fn decode(datagram: &[u8]) -> Result<Self, CodecError> {
        codec::decode(datagram.get(1..).unwrap_or_default())
    }

    /// Returns the entry of the process in the directory of aggregators.
    pub fn into_node(self) -> AggregatorNode {
        AggregatorNode {
            zone: self.zone,
            capacity_cores: self.capacity_cores,
        }
    }
}
