//! Collection of the problems in a configuration text.

use std::ops::Range;

use crate::{
    Problem,
    parse::closest_name::find_closest_name, //
};

/// Number of unknown names per text for which a suggestion is searched; each search compares all known
/// names, so without a limit the time for a text with many unknown names would grow with the square of
/// its size.
const SUGGESTION_SEARCHES_MAX: usize = 200;

/// The problems found so far, with byte offsets; lines and columns are computed once, at the end.
#[derive(Debug, Default)]
pub(super) struct Report {
    /// Byte offset, message and help of each problem.
    entries: Vec<(usize, Box<str>, Box<str>)>,
    unknown_name_count: usize,
}

impl Report {
    /// Adds a problem at the start of `span`.
    pub(super) fn add(
        &mut self,
        span: &Range<usize>,
        message: impl Into<Box<str>>,
        help: impl Into<Box<str>>,
    ) {
        self.entries.push((span.start, message.into(), help.into()));
    }

    /// Adds a problem for an unknown name of an `entity_kind`, such as a zone.
    ///
    /// The help suggests the closest known name. If none is close, or the text has more unknown names than
    /// [`SUGGESTION_SEARCHES_MAX`], it lists known names instead.
    pub(super) fn add_unknown<'a>(
        &mut self,
        span: &Range<usize>,
        entity_kind: &str,
        name: &str,
        known_names: impl Iterator<Item = &'a str> + Clone,
    ) {
        self.unknown_name_count += 1;
        let message = format!("unknown {entity_kind} {name:?}");
        let suggestion = (self.unknown_name_count <= SUGGESTION_SEARCHES_MAX)
            .then(|| find_closest_name(name, known_names.clone()))
            .flatten();
        let help = match suggestion {
            Some(suggestion) => format!("did you mean {suggestion:?}?"),
            None => {
                const SHOWN_NAMES_MAX: usize = 12;
                let shown: Vec<&str> = known_names.clone().take(SHOWN_NAMES_MAX).collect();
                match shown.len() {
                    0 => format!("the text defines no {entity_kind}"),
                    SHOWN_NAMES_MAX => format!("known are {}, and others", shown.join(", ")),
                    _ => format!("known are {}", shown.join(", ")),
                }
            }
        };
        self.add(span, message, help);
    }

    /// Returns whether there are no problems.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the problems in the order of their positions in the text.
    pub(super) fn into_problems(mut self, text: &str) -> Vec<Problem> {
        self.entries.sort_by_key(|(offset, ..)| *offset);
        let mut remaining_chars = text.char_indices().peekable();
        let (mut line, mut column) = (1, 1);
        let mut problems = Vec::with_capacity(self.entries.len());
        for (offset, message, help) in self.entries {
            while let Some((_, character)) = remaining_chars.next_if(|(index, _)| *index < offset) {
                if character == '\n' {
                    line += 1;
                    column = 1;
                } else {
                    column += 1;
                }
            }
            problems.push(Problem {
                line,
                column,
                message,
                help,
            });
        }
        problems
    }
}
