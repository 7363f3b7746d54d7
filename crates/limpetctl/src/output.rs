//! Lines on standard output.

use std::{
    fmt::Arguments,
    io::Write as _, //
};

/// Prints a line; ignores a closed pipe, as in `limpetctl status | head`.
pub(crate) fn write_line(content: Arguments<'_>) {
    // `println!` panics when the reader has closed the pipe. The exit code still reports the result.
    let _ = writeln!(std::io::stdout().lock(), "{content}");
}

/// Prints a formatted line; ignores a closed pipe.
macro_rules! print_line {
    ($($content:tt)*) => {
        $crate::output::write_line(format_args!($($content)*))
    };
}
pub(crate) use print_line;
