//! Texts kept as the base of deltas.

use std::{
    collections::VecDeque,
    io,
    sync::Arc, //
};

use limpet_config::TEXT_SIZE_MAX_BYTES;
use limpet_types::{
    Revision,
    message::ConfigText, //
};

/// Texts kept; at 36,000 changes a day this is about 20 s, and at most 8 MB.
const TEXTS_MAX: usize = 8;
/// Level of zstd; higher levels cost several times the CPU time and save little on deltas.
const LEVEL: i32 = 3;

/// Why a text of a peer cannot be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum UnpackError {
    /// The text that the delta builds on is not known here.
    #[error("revision {0}, which the delta builds on, is not known here")]
    Base(Revision),
    /// The bytes cannot be decompressed.
    #[error("text cannot be decompressed: {0}")]
    Zstd(#[from] io::Error),
    /// The text is not UTF-8.
    #[error("text is not UTF-8: {0}")]
    Utf8(#[from] std::string::FromUtf8Error),
}

/// The latest texts and the packed forms of the newest one.
#[derive(Debug, Default)]
pub(super) struct Texts {
    known: VecDeque<(Revision, Arc<str>)>,
    packed: Vec<(Option<Revision>, ConfigText)>,
}

impl Texts {
    /// Adds the text put in force.
    pub(super) fn push(&mut self, revision: Revision, text: &str) {
        self.packed.clear();
        self.known.push_back((revision, text.into()));
        while self.known.len() > TEXTS_MAX {
            self.known.pop_front();
        }
    }

    /// Returns the revision before the newest.
    pub(super) fn previous(&self) -> Option<Revision> {
        let at = self.known.len().checked_sub(2)?;
        self.known.get(at).map(|(revision, _)| *revision)
    }

    fn text(&self, revision: Revision) -> Option<Arc<str>> {
        let known = self.known.iter().find(|(known, _)| *known == revision);
        known.map(|(_, text)| Arc::clone(text))
    }

    /// Packs the newest text for a peer that has `base`; each form is computed once.
    pub(super) fn pack(&mut self, base: Option<Revision>) -> io::Result<Option<ConfigText>> {
        let Some((_, newest)) = self.known.back() else {
            return Ok(None);
        };
        let base = base.and_then(|base| Some((base, self.text(base)?)));
        let key = base.as_ref().map(|(revision, _)| *revision);
        if let Some((_, packed)) = self.packed.iter().find(|(packed, _)| *packed == key) {
            return Ok(Some(packed.clone()));
        }
        let packed = match base {
            None => ConfigText::Full {
                compressed: zstd::bulk::compress(newest.as_bytes(), LEVEL)?,
            },
            Some((base, text)) => ConfigText::Delta {
                base,
                compressed: zstd::bulk::Compressor::with_dictionary(LEVEL, text.as_bytes())?
                    .compress(newest.as_bytes())?,
            },
        };
        self.packed.push((key, packed.clone()));
        Ok(Some(packed))
    }

    /// Reads a text of a peer; a text over the size limit is an error.
    pub(super) fn unpack(&self, text: &ConfigText) -> Result<String, UnpackError> {
        let bytes = match text {
            ConfigText::Full { compressed } => {
                zstd::bulk::decompress(compressed, TEXT_SIZE_MAX_BYTES)?
            }
            ConfigText::Delta { base, compressed } => {
                let text = self.text(*base).ok_or(UnpackError::Base(*base))?;
                zstd::bulk::Decompressor::with_dictionary(text.as_bytes())?
                    .decompress(compressed, TEXT_SIZE_MAX_BYTES)?
            }
        };
        Ok(String::from_utf8(bytes)?)
    }
}
