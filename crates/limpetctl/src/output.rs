//! Printing of lines on standard output.

use std::{
    fmt::Arguments,
    io::Write as _, //
};

/// Prints a line; ignores a pipe that its reader has closed, as in `limpetctl status | head`.
pub(crate) fn write_line(line: Arguments<'_>) {
    // `println!` panics when the reader has closed the pipe. The exit code still reports the result.
    let _ = writeln!(std::io::stdout().lock(), "{line}");
}

/// Formats and prints a line like `println!`, but ignores a closed pipe.
macro_rules! print_line {
    ($($format:tt)*) => {
        $crate::output::write_line(format_args!($($format)*))
    };
}
pub(crate) use print_line;
