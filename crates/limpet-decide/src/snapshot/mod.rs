//! Choice of the index version of a query.
