//! Fields that the format of a configuration does not define.

use super::{
    Finding,
    FindingKind,
    Place, //
};

/// Longest name that is compared and shown; the cost of a comparison grows with the length.
const SHOWN_NAME_MAX_CHARS: usize = 40;

/// A field of an entry that the format does not define.
#[derive(Clone, Debug)]
pub struct UnknownField<'a> {
    /// Entry with the field.
    pub place: Place,
    /// Part of the entry that has the field, for operators; `None` if it is the entry itself.
    pub part: Option<Box<str>>,
    /// Name of the field.
    pub name: &'a str,
    /// Names that the format defines there.
    pub known_names: &'a [&'a str],
}

impl UnknownField<'_> {
    /// Returns the finding.
    ///
    /// In a team, the name is shown only if it is similar to a known one: it may be an API key at the wrong place.
    pub fn finding(&self) -> Finding {
        let nearest = self.nearest();
        let is_similar =
            nearest.is_some_and(|(distance, _)| distance <= (self.name.chars().count() / 3).max(1));
        let mut text = match &self.place {
            Place::Team { .. } if !is_similar => String::from("there is a field"),
            _ => format!("there is a field {:?}", shorten(self.name)),
        };
        if let Some(part) = &self.part {
            text += &format!(" in {part}");
        }
        text += " that the format does not define";
        if let Some((_, nearest)) = nearest {
            text += &format!("; the nearest is {nearest:?}");
        }
        Finding::new(FindingKind::UnknownField, self.place.clone(), text)
    }

    /// Returns the known name that needs the fewest edits to become this one, and their number. The case does not count.
    fn nearest(&self) -> Option<(usize, &str)> {
        let name = shorten(self.name).to_lowercase();
        let distance = |known: &str| strsim::damerau_levenshtein(&name, &known.to_lowercase());
        let known_names = self.known_names.iter();
        known_names.map(|known| (distance(known), *known)).min()
    }
}

/// Returns the beginning of a name.
fn shorten(name: &str) -> String {
    name.chars().take(SHOWN_NAME_MAX_CHARS).collect()
}
