//! Parsing of the whole text, of the fleet settings and of the zones.

use std::time::Duration;

use toml::de::DeTable;

use crate::{
    Config, FRESHNESS_LIMIT_DEFAULT, FleetSettings, Problem, TEXT_SIZE_MAX_BYTES, Zone, ZoneState,
    parse::{
        Fields,
        Report,
        UniqueValues,
        lookups::parse_lookups,
        services::parse_services,
        teams::parse_teams, //
    },
};

/// Upper limit of `vms_max`, far above the design size of 6,400; a larger value is a typing error.
const VMS_MAX_LIMIT: u64 = 100_000;
/// Lower limit of `freshness_limit_ms`; evidence that the configuration is current is up to 1 s old
/// when a reader gets it and ages further on the way to the other processes, so a shorter limit would
/// expire without any fault.
const FRESHNESS_LIMIT_MIN_MS: u64 = 3_000;
/// Upper limit of `freshness_limit_ms`; a revoked API key must stop working within seconds.
const FRESHNESS_LIMIT_MAX_MS: u64 = 60_000;

impl Config {
    /// Parses and validates a configuration text.
    ///
    /// The contents of a text with syntax errors are not validated, because its structure is uncertain.
    ///
    /// # Errors
    ///
    /// Returns all problems found, in the order of their positions in the text.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let mut report = Report::default();
        if text.len() > TEXT_SIZE_MAX_BYTES {
            report.add(
                &(0..0),
                format!("the text has {} bytes", text.len()),
                format!("keep it within {TEXT_SIZE_MAX_BYTES} bytes"),
            );
            return Err(report.into_problems(text));
        }
        let (document, syntax_errors) = DeTable::parse_recoverable(text);
        for error in syntax_errors {
            let span = error.span().unwrap_or(0..0);
            let message = error.message().replace('\n', ", ");
            report.add(&span, message, "write valid TOML here");
        }
        if !report.is_empty() {
            return Err(report.into_problems(text));
        }
        let config = parse_document(&mut report, document.get_ref());
        match config {
            Some(config) if report.is_empty() => Ok(config),
            _ => Err(report.into_problems(text)),
        }
    }
}

fn parse_document(report: &mut Report, document: &DeTable<'_>) -> Option<Config> {
    let known_sections = ["fleet", "zone", "team", "service", "lookup"];
    let root = Fields::new(report, "text", 0..0, document, &known_sections);
    let fleet = parse_fleet(report, &root);
    let zones = parse_zones(report, &root);
    let teams = parse_teams(report, &root);
    let services = parse_services(report, &root, &zones);
    let lookups = parse_lookups(report, &root, &services, &teams);
    Some(Config::new(fleet?, zones, teams, services, lookups))
}

fn parse_fleet(report: &mut Report, root: &Fields<'_, '_>) -> Option<FleetSettings> {
    if !root.has("fleet") {
        let help = "add [fleet] with vms_max";
        report.add(&root.span, "missing section \"fleet\"", help);
        return None;
    }
    let fields = root.table(report, "fleet", &["vms_max", "freshness_limit_ms"])?;
    let vms_max = fields.integer(report, "vms_max", 1..=VMS_MAX_LIMIT, None);
    let freshness_limit_ms = fields.integer(
        report,
        "freshness_limit_ms",
        FRESHNESS_LIMIT_MIN_MS..=FRESHNESS_LIMIT_MAX_MS,
        Some(FRESHNESS_LIMIT_DEFAULT.as_millis() as u64),
    );
    Some(FleetSettings {
        vms_max: vms_max? as u32,
        freshness_limit: Duration::from_millis(freshness_limit_ms?),
    })
}

fn parse_zones(report: &mut Report, root: &Fields<'_, '_>) -> Vec<Zone> {
    let zone_states = [("in", ZoneState::Enabled), ("out", ZoneState::Disabled)];
    let mut zone_names = UniqueValues::new("zone name");
    let mut zones = Vec::new();
    for fields in root.tables(report, "zone", &["name", "state"]) {
        let name = fields.name(report);
        let state = fields.choice(report, "state", &zone_states, Some(ZoneState::Enabled));
        if let Some(name) = name {
            zone_names.insert(report, &name.span, name.text, name.text, name.text);
            zones.push(Zone {
                name: name.text.into(),
                state: state.unwrap_or(ZoneState::Enabled),
            });
        }
    }
    zones
}
