//! Checks of the operators' text and its compilation.

mod fields;
mod lookups;
mod nearest;
mod report;
mod services;
mod shards;
mod teams;
mod text;
mod unique;

use fields::Fields;
use report::Report;
use unique::Unique;
