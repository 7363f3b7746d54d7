//! The configuration in force.

use limpet_config::Config;
use limpet_types::Revision;

/// Configuration text in force and the configuration parsed from it.
#[derive(Clone, Debug)]
pub struct ConfigInForce {
    /// Revision of the text.
    pub revision: Revision,
    /// BLAKE3 digest of the text.
    pub digest: [u8; 32],
    /// Text as the operators wrote it.
    pub text: Box<str>,
    /// Configuration parsed from the text.
    pub config: Config,
}
