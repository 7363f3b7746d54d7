//! Parsing and validation of the configuration text.

mod fields;
mod lookups;
mod nearest;
mod report;
mod services;
mod shards;
mod teams;
mod text;
mod unique_values;

use fields::Fields;
use report::Report;
use unique_values::UniqueValues;
