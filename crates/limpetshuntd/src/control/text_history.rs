//! Recent configuration texts, and their compression as deltas for peers.

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

/// Maximum number of texts kept as bases of deltas; 8 texts cover about 20 s at 36,000 changes a day and take
/// up to 8 MB.
const HISTORY_TEXTS_MAX: usize = 8;
/// zstd level; higher levels take several times the CPU time and make deltas little smaller.
const COMPRESSION_LEVEL: i32 = 3;

/// Why a text from a peer cannot be decompressed.
#[derive(Debug, thiserror::Error)]
pub(super) enum DecompressError {
    /// The base text of the delta is not kept here.
    #[error("base revision {0} of the delta is not kept here")]
    UnknownBase(Revision),
    /// The text cannot be decompressed.
    #[error("text cannot be decompressed: {0}")]
    Zstd(#[from] io::Error),
    /// The text is not UTF-8.
    #[error("text is not UTF-8: {0}")]
    Utf8(#[from] std::string::FromUtf8Error),
}

/// Latest texts that were in force, as bases of deltas, and compressed forms of the newest one for peers.
#[derive(Debug, Default)]
pub(super) struct TextHistory {
    /// Kept texts with their revisions, in the order in which they were put in force.
    texts: VecDeque<(Revision, Arc<str>)>,
    /// Compressed forms of the newest text: each delta with its base revision, the full text with `None`.
    compressed_forms: Vec<(Option<Revision>, ConfigText)>,
}

impl TextHistory {
    /// Adds a text that was put in force, and removes the oldest one if too many are kept.
    pub(super) fn push(&mut self, revision: Revision, text: &str) {
        self.compressed_forms.clear();
        self.texts.push_back((revision, text.into()));
        while self.texts.len() > HISTORY_TEXTS_MAX {
            self.texts.pop_front();
        }
    }

    /// Returns the revision of the text before the newest one; `None` if fewer than two texts are kept.
    pub(super) fn previous_revision(&self) -> Option<Revision> {
        let index = self.texts.len().checked_sub(2)?;
        self.texts.get(index).map(|(revision, _)| *revision)
    }

    /// Returns the text of a revision if it is kept.
    fn text(&self, revision: Revision) -> Option<Arc<str>> {
        let found = self.texts.iter().find(|(kept, _)| *kept == revision);
        found.map(|(_, text)| Arc::clone(text))
    }

    /// Compresses the newest text, as a delta if the text of revision `base` is kept; returns `None` before
    /// the first text was put in force.
    ///
    /// Each form is compressed once and then cached.
    pub(super) fn compress_newest(
        &mut self,
        base: Option<Revision>,
    ) -> io::Result<Option<ConfigText>> {
        let Some((_, newest)) = self.texts.back() else {
            return Ok(None);
        };
        let base = base.and_then(|base| Some((base, self.text(base)?)));
        let base_revision = base.as_ref().map(|(revision, _)| *revision);
        if let Some((_, compressed_text)) = self
            .compressed_forms
            .iter()
            .find(|(base, _)| *base == base_revision)
        {
            return Ok(Some(compressed_text.clone()));
        }
        let compressed_text = match base {
            None => ConfigText::Full {
                compressed: zstd::bulk::compress(newest.as_bytes(), COMPRESSION_LEVEL)?,
            },
            Some((base, base_text)) => ConfigText::Delta {
                base,
                compressed: zstd::bulk::Compressor::with_dictionary(
                    COMPRESSION_LEVEL,
                    base_text.as_bytes(),
                )?
                .compress(newest.as_bytes())?,
            },
        };
        self.compressed_forms
            .push((base_revision, compressed_text.clone()));
        Ok(Some(compressed_text))
    }

    /// Decompresses a text from a peer; fails if the result exceeds the size limit of a configuration text.
    pub(super) fn decompress(&self, text: &ConfigText) -> Result<String, DecompressError> {
        let bytes = match text {
            ConfigText::Full { compressed } => {
                zstd::bulk::decompress(compressed, TEXT_SIZE_MAX_BYTES)?
            }
            ConfigText::Delta { base, compressed } => {
                let base_text = self
                    .text(*base)
                    .ok_or(DecompressError::UnknownBase(*base))?;
                zstd::bulk::Decompressor::with_dictionary(base_text.as_bytes())?
                    .decompress(compressed, TEXT_SIZE_MAX_BYTES)?
            }
        };
        Ok(String::from_utf8(bytes)?)
    }
}
