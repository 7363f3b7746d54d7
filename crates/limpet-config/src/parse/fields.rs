//! Typed access to the fields of one table of the text.

use std::ops::{
    Range,
    RangeInclusive, //
};

use toml::{
    Spanned,
    de::{
        DeInteger,
        DeTable,
        DeValue, //
    },
};

use crate::parse::Report;

/// Maximum length of a name; names appear in URLs, headers and metric labels.
const NAME_LENGTH_MAX: usize = 64;

/// A string and its byte range in the text.
#[derive(Clone, Debug)]
pub(super) struct SpannedStr<'a> {
    pub(super) text: &'a str,
    pub(super) span: Range<usize>,
}

/// The fields of one table of the text.
///
/// The methods that return a value of a certain type report an invalid field and a missing required one.
#[derive(Debug)]
pub(super) struct Fields<'a, 't> {
    table: &'a DeTable<'t>,
    /// Name of the table; the root table is named `text`.
    table_name: &'static str,
    pub(super) span: Range<usize>,
}

impl<'a, 't> Fields<'a, 't> {
    /// Wraps a table and reports fields that are not in `known_fields`.
    pub(super) fn new(
        report: &mut Report,
        table_name: &'static str,
        span: Range<usize>,
        table: &'a DeTable<'t>,
        known_fields: &[&str],
    ) -> Self {
        let entity_kind = if table_name == "text" {
            "section"
        } else {
            "field"
        };
        for key in table.keys() {
            if !known_fields.contains(&key.get_ref().as_ref()) {
                let known_names = known_fields.iter().copied();
                report.add_unknown(&key.span(), entity_kind, key.get_ref(), known_names);
            }
        }
        Self {
            table,
            table_name,
            span,
        }
    }

    /// Returns the value of a field, if the field is present.
    fn value(&self, name: &str) -> Option<&'a Spanned<DeValue<'t>>> {
        self.table
            .iter()
            .find(|(key, _)| key.get_ref().as_ref() == name)
            .map(|(_, value)| value)
    }

    /// Returns whether the field is present.
    pub(super) fn has(&self, name: &str) -> bool {
        self.value(name).is_some()
    }

    /// Returns the byte range of the value of a field, or that of the table if the field is missing.
    pub(super) fn span_of(&self, name: &str) -> Range<usize> {
        self.value(name).map_or(self.span.clone(), Spanned::span)
    }

    /// Returns the value of a required field; a missing one is reported with what is `expected`.
    fn required_value(
        &self,
        report: &mut Report,
        name: &str,
        expected: &str,
    ) -> Option<&'a Spanned<DeValue<'t>>> {
        let value = self.value(name);
        if value.is_none() {
            let message = format!("missing field {name:?} of this {}", self.table_name);
            report.add(&self.span, message, format!("add {name} = {expected}"));
        }
        value
    }

    /// Returns a required string.
    pub(super) fn text(
        &self,
        report: &mut Report,
        name: &str,
        expected: &str,
    ) -> Option<SpannedStr<'a>> {
        let value = self.required_value(report, name, expected)?;
        spanned_str(report, value, name, expected)
    }

    /// Returns the required field `name`, the name of the item that the table defines.
    pub(super) fn name(&self, report: &mut Report) -> Option<SpannedStr<'a>> {
        let expected = "a name of letters, digits, '-', '_' and '.'";
        let name = self.text(report, "name", expected)?;
        let is_valid_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let has_valid_length = (1..=NAME_LENGTH_MAX).contains(&name.text.len());
        if has_valid_length && name.text.chars().all(is_valid_char) {
            return Some(name);
        }
        report.add(
            &name.span,
            format!("{:?} is not a usable name", name.text),
            format!("use {expected}, at most {NAME_LENGTH_MAX}"),
        );
        None
    }

    /// Returns an integer within `range`, or `default` if the field is missing; without a default it is
    /// required.
    pub(super) fn integer(
        &self,
        report: &mut Report,
        name: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        if default.is_some() && !self.has(name) {
            return default;
        }
        let value = self.required_value(report, name, &expected)?;
        let number = match value.get_ref() {
            DeValue::Integer(integer) => parse_integer(integer),
            _ => None,
        };
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            report.add(
                &value.span(),
                format!("impossible {name}"),
                format!("use {expected}"),
            );
        }
        number
    }

    /// Returns a required positive number, integer or float, up to `max`.
    pub(super) fn positive_number(&self, report: &mut Report, name: &str, max: f64) -> Option<f64> {
        let expected = format!("a number above 0, up to {max}");
        let value = self.required_value(report, name, &expected)?;
        let number = match value.get_ref() {
            DeValue::Integer(integer) => parse_integer(integer).map(|number| number as f64),
            DeValue::Float(float) => float.as_str().parse().ok(),
            _ => None,
        };
        let number = number.filter(|number: &f64| *number > 0.0 && *number <= max);
        if number.is_none() {
            report.add(
                &value.span(),
                format!("impossible {name}"),
                format!("use {expected}"),
            );
        }
        number
    }

    /// Returns a boolean, or `default` if the field is missing.
    pub(super) fn boolean(&self, report: &mut Report, name: &str, default: bool) -> bool {
        match self
            .value(name)
            .map(|value| (value.get_ref(), value.span()))
        {
            None => default,
            Some((DeValue::Boolean(value), _)) => *value,
            Some((_, span)) => {
                report.add(
                    &span,
                    format!("{name} is not a boolean"),
                    "use true or false",
                );
                default
            }
        }
    }

    /// Returns the value of the named choice, or `default` if the field is missing; without a default it
    /// is required.
    pub(super) fn choice<T: Copy>(
        &self,
        report: &mut Report,
        name: &str,
        choices: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        if default.is_some() && !self.has(name) {
            return default;
        }
        let quoted_names: Vec<String> = choices
            .iter()
            .map(|(name, _)| format!("{name:?}"))
            .collect();
        let chosen_name = self.text(report, name, &quoted_names.join(" or "))?;
        let chosen = choices.iter().find(|(name, _)| *name == chosen_name.text);
        if chosen.is_none() {
            let known_names = choices.iter().map(|(name, _)| *name);
            report.add_unknown(&chosen_name.span, name, chosen_name.text, known_names);
        }
        chosen.map(|(_, choice)| *choice)
    }

    /// Returns a list of strings, empty if the field is missing.
    pub(super) fn strings(&self, report: &mut Report, name: &str) -> Vec<SpannedStr<'a>> {
        let Some(value) = self.value(name) else {
            return Vec::new();
        };
        let DeValue::Array(array) = value.get_ref() else {
            let message = format!("{name} is not a list");
            report.add(&value.span(), message, "use a list of strings, [\"..\"]");
            return Vec::new();
        };
        array
            .iter()
            .filter_map(|item| spanned_str(report, item, name, "a string"))
            .collect()
    }

    /// Returns a list of tables, empty if the field is missing.
    pub(super) fn tables(
        &self,
        report: &mut Report,
        name: &'static str,
        known_fields: &[&str],
    ) -> Vec<Fields<'a, 't>> {
        let Some(value) = self.value(name) else {
            return Vec::new();
        };
        let table_path = if self.table_name == "text" {
            name.to_owned()
        } else {
            format!("{}.{name}", self.table_name)
        };
        let help = format!("write each as [[{table_path}]]");
        let DeValue::Array(array) = value.get_ref() else {
            report.add(
                &value.span(),
                format!("{name} is not a list of tables"),
                help,
            );
            return Vec::new();
        };
        let mut tables = Vec::with_capacity(array.len());
        for item in array.iter() {
            match item.get_ref() {
                DeValue::Table(table) => {
                    tables.push(Fields::new(report, name, item.span(), table, known_fields));
                }
                _ => report.add(&item.span(), format!("{name} is not a table"), help.clone()),
            }
        }
        tables
    }

    /// Returns a table, or `None` if the field is missing.
    pub(super) fn table(
        &self,
        report: &mut Report,
        name: &'static str,
        known_fields: &[&str],
    ) -> Option<Fields<'a, 't>> {
        let value = self.value(name)?;
        let DeValue::Table(table) = value.get_ref() else {
            let message = format!("{name} is not a table");
            report.add(&value.span(), message, format!("write it as [{name}]"));
            return None;
        };
        Some(Fields::new(report, name, value.span(), table, known_fields))
    }
}

/// Returns the string that a value holds; any other type is reported.
fn spanned_str<'a>(
    report: &mut Report,
    value: &'a Spanned<DeValue<'_>>,
    name: &str,
    expected: &str,
) -> Option<SpannedStr<'a>> {
    let span = value.span();
    if let DeValue::String(text) = value.get_ref() {
        return Some(SpannedStr { text, span });
    }
    report.add(
        &span,
        format!("{name} is not a string"),
        format!("use {expected}"),
    );
    None
}

/// Parses an integer in the radix that the text writes it in.
fn parse_integer(integer: &DeInteger<'_>) -> Option<u64> {
    u64::from_str_radix(integer.as_str(), integer.radix()).ok()
}
