//! Parsing and validation of the configuration text.

mod closest_name;
mod fields;
mod lookups;
mod report;
mod services;
mod shards;
mod teams;
mod text;
mod unique_values;

use fields::Fields;
use report::Report;
use unique_values::UniqueValues;
