//! Collection of the problems in a text.

use std::ops::Range;

use crate::{
    Problem,
    parse::nearest::nearest, //
};

/// Maximum number of suggestions per text; each one compares all known names, so without a limit the
/// time for a text with many unknown names would grow with the square of its size.
const SUGGESTIONS_MAX: usize = 200;

/// Problems with their byte offsets; lines and columns are computed once, at the end.
#[derive(Debug, Default)]
pub(super) struct Report {
    entries: Vec<(usize, Box<str>, Box<str>)>,
    suggestion_count: usize,
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

    /// Adds an unknown name, with the closest known name as a suggestion.
    pub(super) fn add_unknown<'a>(
        &mut self,
        span: &Range<usize>,
        entity_kind: &str,
        name: &str,
        known: impl Iterator<Item = &'a str> + Clone,
    ) {
        self.suggestion_count += 1;
        let message = format!("unknown {entity_kind} {name:?}");
        let suggestion = (self.suggestion_count <= SUGGESTIONS_MAX)
            .then(|| nearest(name, known.clone()))
            .flatten();
        let help = match suggestion {
            Some(suggestion) => format!("did you mean {suggestion:?}?"),
            None => {
                const SHOWN_MAX: usize = 12;
                let shown: Vec<&str> = known.clone().take(SHOWN_MAX).collect();
                match shown.len() {
                    0 => format!("the text defines no {entity_kind}"),
                    SHOWN_MAX => format!("known are {}, and others", shown.join(", ")),
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
        let mut characters = text.char_indices().peekable();
        let (mut line, mut column) = (1, 1);
        let mut problems = Vec::with_capacity(self.entries.len());
        for (offset, message, help) in self.entries {
            while let Some((_, character)) = characters.next_if(|(index, _)| *index < offset) {
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
