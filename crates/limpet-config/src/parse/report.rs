//! Problems found so far.

use std::ops::Range;

use crate::{
    Problem,
    parse::nearest::nearest, //
};

/// Suggestions searched for one text; each compares all known names, so a text of wrong names only
/// would take time with the square of its size.
const SUGGESTIONS_MAX: usize = 200;

/// Collects problems by byte offset; positions are computed once at the end.
#[derive(Debug, Default)]
pub(super) struct Report {
    found: Vec<(usize, Box<str>, Box<str>)>,
    suggestions: usize,
}

impl Report {
    /// Adds a problem at the start of `span`.
    pub(super) fn add(
        &mut self,
        span: &Range<usize>,
        message: impl Into<Box<str>>,
        help: impl Into<Box<str>>,
    ) {
        self.found.push((span.start, message.into(), help.into()));
    }

    /// Adds an unknown name with the nearest known one as suggestion.
    pub(super) fn add_unknown<'a>(
        &mut self,
        span: &Range<usize>,
        what: &str,
        name: &str,
        known: impl Iterator<Item = &'a str> + Clone,
    ) {
        self.suggestions += 1;
        let message = format!("unknown {what} {name:?}");
        let near = (self.suggestions <= SUGGESTIONS_MAX)
            .then(|| nearest(name, known.clone()))
            .flatten();
        let help = match near {
            Some(near) => format!("did you mean {near:?}?"),
            None => {
                const SHOWN: usize = 12;
                let shown: Vec<&str> = known.clone().take(SHOWN).collect();
                match shown.len() {
                    0 => format!("the text defines no {what}"),
                    SHOWN => format!("known are {}, and others", shown.join(", ")),
                    _ => format!("known are {}", shown.join(", ")),
                }
            }
        };
        self.add(span, message, help);
    }

    /// Returns whether nothing was found.
    pub(super) fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Returns the problems in the order of the text.
    pub(super) fn into_problems(mut self, text: &str) -> Vec<Problem> {
        self.found.sort_by_key(|(offset, ..)| *offset);
        let mut characters = text.char_indices().peekable();
        let (mut line, mut column) = (1, 1);
        let mut problems = Vec::with_capacity(self.found.len());
        for (offset, message, help) in self.found {
            while let Some((_, character)) = characters.next_if(|(at, _)| *at < offset) {
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
