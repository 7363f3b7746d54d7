//! Parses the command line, runs the command and exits with its exit code.

use std::process::ExitCode;

use clap::Parser;
use limpetctl::{
    Arguments,
    command, //
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    ExitCode::from(command::run(arguments).await.code())
}
