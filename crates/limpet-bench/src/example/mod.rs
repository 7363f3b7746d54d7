//! Example configurations at the sizes of the two users' fleets, and the settings of their fake targets.

mod config_text;
mod fleet;
mod specs;

use std::{
    net::Ipv4Addr,
    path::PathBuf, //
};

use clap::{
    Args,
    ValueEnum, //
};

pub use config_text::{
    example_api_key,
    render_config, //
};
pub use fleet::{
    ExampleFleet,
    ExampleLookup,
    ExampleService,
    ExampleTeam, //
};
pub use specs::target_specs;

/// Port of the targets in the committed examples.
pub const TARGET_PORT_DEFAULT: u16 = 9000;
/// Host number of the first target's address in 127.0.0.0/16; each target has its own address.
pub const FIRST_TARGET_HOST_NUMBER: u8 = 100;

/// User for whom an example is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ExampleUser {
    /// Cork flooring: four zones, eight teams, 105 targets.
    Authority,
    /// Gloves: three zones, eight teams, 97 targets.
    Peachtree,
}

/// Arguments of `example`.
#[derive(Clone, Debug, Args)]
pub struct ExampleArguments {
    /// User whose example to write.
    pub user: ExampleUser,
    /// File for the configuration text; printed if absent.
    #[arg(long, env = "LIMPET_BENCH_TEXT")]
    pub text: Option<PathBuf>,
    /// File for the settings of the fake targets (JSON).
    #[arg(long, env = "LIMPET_BENCH_TARGETS")]
    pub targets: Option<PathBuf>,
    /// Port of every target.
    #[arg(long, env = "LIMPET_BENCH_TARGET_PORT", default_value_t = TARGET_PORT_DEFAULT)]
    pub target_port: u16,
    /// Factor on the number of shards of each service.
    #[arg(long, env = "LIMPET_BENCH_SHARDS_FACTOR", default_value_t = 1)]
    pub shards_factor: usize,
    /// Maximum number of relay processes at one time; that of the example if absent.
    #[arg(long, env = "LIMPET_BENCH_VMS_MAX")]
    pub vms_max: Option<u32>,
    /// Disable hedging in every service.
    #[arg(long, env = "LIMPET_BENCH_NO_HEDGE")]
    pub no_hedge: bool,
    /// Share of the attempts that take ten times as long at the fake targets (stragglers).
    #[arg(long, env = "LIMPET_BENCH_STRAGGLER_SHARE", default_value_t = 0.0)]
    pub straggler_share: f64,
}

/// Returns the address of a target by its index in the configuration text, counted over all services.
pub fn target_ip(target_index: usize) -> Ipv4Addr {
    let host_number = usize::from(FIRST_TARGET_HOST_NUMBER) + target_index;
    Ipv4Addr::new(127, 0, (host_number / 256) as u8, (host_number % 256) as u8)
}

/// Writes the configuration text and the target settings of an example, and returns true.
///
/// # Errors
///
/// Fails when a file cannot be written.
pub fn run(arguments: &ExampleArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let mut fleet =
        ExampleFleet::for_user(arguments.user).with_shards_factor(arguments.shards_factor);
    fleet.vms_max = arguments.vms_max.unwrap_or(fleet.vms_max);
    let mut text = render_config(&fleet, arguments.target_port);
    if arguments.no_hedge {
        text = text.replace(
            "
hedge = true
",
            "
hedge = false
",
        );
    }
    match &arguments.text {
        Some(path) => std::fs::write(path, &text)?,
        None => print!("{text}"),
    }
    if let Some(path) = &arguments.targets {
        let mut specs = target_specs(&fleet, arguments.target_port);
        for spec in &mut specs {
            spec.straggler_share = arguments.straggler_share;
        }
        std::fs::write(path, serde_json::to_vec_pretty(&specs)?)?;
    }
    Ok(true)
}
