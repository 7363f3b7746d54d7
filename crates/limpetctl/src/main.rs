//! Program entry point of the command-line tool.

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
