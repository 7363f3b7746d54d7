//! The limpetshunt command-line tool.
