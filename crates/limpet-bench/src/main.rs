//! Program entry point of the benchmarks.

use std::process::ExitCode;

use clap::{
    Parser,
    Subcommand, //
};
use limpet_bench::{
    example,
    fanout,
    idle,
    load,
    ports,
    slopes, //
};

/// Explanation after the list of commands.
const AFTER_HELP: &str = "\
Examples:
  Load two entries for 10 s with two teams, search and order status:
    limpet-bench load --entry 127.0.0.11:7100/127.0.0.11:7103 \\
      --entry 127.0.0.12:7100/127.0.0.12:7103 \\
      --team retail:example-key-retail:100 --team trade:example-key-trade:50 \\
      --lookup stock-search --lookup order-status@record --duration-s 10 --output load.json

  Added latency at 30 and 310 targets beside a bare client:
    limpet-bench fanout

  Memory and CPU of two processes over 30 s:
    limpet-bench idle --pid 4711 --pid 4712 --duration-s 30

  Write an example configuration and the description of its stand-in targets:
    limpet-bench example authority --text authority.toml --targets targets.json";

/// Measure a limpetshunt fleet.
#[derive(Debug, Parser)]
#[command(name = "limpet-bench", version, after_help = AFTER_HELP)]
struct Arguments {
    /// What to measure.
    #[command(subcommand)]
    command: Command,
}

/// What to measure.
#[derive(Debug, Subcommand)]
enum Command {
    /// Send queries at given rates and measure latency, coverage and refusals.
    Load(load::LoadArguments),
    /// Measure the latency that the tier adds, beside a bare client with the same fan-out.
    Fanout(fanout::FanoutArguments),
    /// Measure memory and CPU of processes.
    Idle(idle::IdleArguments),
    /// Write an example configuration and the description of its stand-in targets.
    Example(example::ExampleArguments),
    /// Measure one point of a fleet's control cost, or fit lines through points.
    Slopes(slopes::SlopesArguments),
    /// Print ports that are free on every loopback address.
    Ports(ports::PortsArguments),
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Load(arguments) => load::run(arguments).await,
        Command::Fanout(arguments) => fanout::run(arguments).await,
        Command::Idle(arguments) => idle::run(arguments).await,
        Command::Example(arguments) => example::run(&arguments),
        Command::Slopes(arguments) => slopes::run(arguments).await,
        Command::Ports(arguments) => ports::run(&arguments),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
