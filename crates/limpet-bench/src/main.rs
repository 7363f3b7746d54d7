//! Command line of `limpet-bench`.

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

/// Examples shown after the help text.
const AFTER_HELP: &str = "\
Examples:
  Load two entries for 10 s with two teams, search and order status:
    limpet-bench load --entry 127.0.0.11:7100/127.0.0.11:7103 \\
      --entry 127.0.0.12:7100/127.0.0.12:7103 \\
      --team retail:example-key-retail:100 --team trade:example-key-trade:50 \\
      --lookup stock-search --lookup order-status@record --duration-s 10 --output load.json

  Added latency at 30 and 310 targets, compared with a client that queries the targets directly:
    limpet-bench fanout

  Memory and CPU of two processes over 30 s:
    limpet-bench idle --pid 4711 --pid 4712 --duration-s 30

  Write an example configuration and the settings of its fake targets:
    limpet-bench example authority --text authority.toml --targets targets.json";

/// Measure a limpetshunt fleet.
#[derive(Debug, Parser)]
#[command(name = "limpet-bench", version, after_help = AFTER_HELP)]
struct Arguments {
    /// What to do.
    #[command(subcommand)]
    command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
enum Command {
    /// Send queries at given rates and measure latency, coverage and refusals.
    Load(load::LoadArguments),
    /// Measure the latency that an entry and a relay add, compared with a client that queries the same
    /// targets directly.
    Fanout(fanout::FanoutArguments),
    /// Measure memory and CPU of processes.
    Idle(idle::IdleArguments),
    /// Write an example configuration and the settings of its fake targets.
    Example(example::ExampleArguments),
    /// Measure the cost of a fleet's control plane, or fit lines through measured points.
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
