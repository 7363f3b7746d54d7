//! Lines on the standard output.

use std::{
    fmt::Arguments,
    io::Write as _, //
};

/// Prints a line; a closed pipe, as of `limpetctl status | head`, is no error.
pub(crate) fn line(content: Arguments<'_>) {
    // `println!` panics when the reader is gone. The exit code still tells how the command ended.
    let _ = writeln!(std::io::stdout().lock(), "{content}");
}

/// Prints a formatted line.
macro_rules! say {
    ($($content:tt)*) => {
        $crate::output::line(format_args!($($content)*))
    };
}
pub(crate) use say;
