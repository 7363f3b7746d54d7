//! The configuration in force.

use limpet_config::Config;
use limpet_types::Revision;

/// A revision of the operators' text with its compiled form.
#[derive(Clone, Debug)]
pub struct ConfigInForce {
    /// Revision.
    pub revision: Revision,
    /// BLAKE3 digest of the text.
    pub digest: [u8; 32],
    /// Text.
    pub text: Box<str>,
    /// Compiled form.
    pub config: Config,
}
