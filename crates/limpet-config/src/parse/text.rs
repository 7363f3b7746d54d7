//! The whole text.

use std::time::Duration;

use toml::de::DeTable;

use crate::{
    Config, FRESHNESS_LIMIT_DEFAULT, Fleet, Problem, TEXT_SIZE_MAX_BYTES, Zone, ZoneState,
    parse::{
        Fields,
        Report,
        Unique,
        lookups::parse_lookups,
        services::parse_services,
        teams::parse_teams, //
    },
};

/// Most relay processes; far above the design size of 6,400, so that a typing error is refused.
const VMS_MAX_MAX: u64 = 100_000;
/// Shortest freshness limit; evidence is up to 1 s old at a reader and ages further on its way, so a
/// shorter limit would expire without any fault.
const FRESHNESS_LIMIT_MIN_MS: u64 = 3_000;
/// Longest freshness limit; a revoked API key has to stop working within seconds.
const FRESHNESS_LIMIT_MAX_MS: u64 = 60_000;

impl Config {
    /// Checks a text and compiles it.
    ///
    /// Syntax errors hide the structure of a text, so the checks of meaning run only once there is
    /// none.
    ///
    /// # Errors
    ///
    /// Returns every problem, in the order of the text.
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
        let (document, errors) = DeTable::parse_recoverable(text);
        for error in errors {
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
    let known = ["fleet", "zone", "team", "service", "lookup"];
    let root = Fields::new(report, "text", 0..0, document, &known);
    let fleet = parse_fleet(report, &root);
    let zones = parse_zones(report, &root);
    let teams = parse_teams(report, &root);
    let services = parse_services(report, &root, &zones);
    let lookups = parse_lookups(report, &root, &services, &teams);
    Some(Config::new(fleet?, zones, teams, services, lookups))
}

fn parse_fleet(report: &mut Report, root: &Fields<'_, '_>) -> Option<Fleet> {
    if !root.has("fleet") {
        let help = "add [fleet] with vms_max";
        report.add(&root.span, "missing section \"fleet\"", help);
        return None;
    }
    let fields = root.table(report, "fleet", &["vms_max", "freshness_limit_ms"])?;
    let vms_max = fields.integer(report, "vms_max", 1..=VMS_MAX_MAX, None);
    let limit_ms = fields.integer(
        report,
        "freshness_limit_ms",
        FRESHNESS_LIMIT_MIN_MS..=FRESHNESS_LIMIT_MAX_MS,
        Some(FRESHNESS_LIMIT_DEFAULT.as_millis() as u64),
    );
    Some(Fleet {
        vms_max: vms_max? as u32,
        freshness_limit: Duration::from_millis(limit_ms?),
    })
}

fn parse_zones(report: &mut Report, root: &Fields<'_, '_>) -> Vec<Zone> {
    let states = [("in", ZoneState::Enabled), ("out", ZoneState::Disabled)];
    let mut names = Unique::new("zone name");
    let mut zones = Vec::new();
    for fields in root.tables(report, "zone", &["name", "state"]) {
        let name = fields.name(report);
        let state = fields.choice(report, "state", &states, Some(ZoneState::Enabled));
        if let Some(name) = name {
            names.note(report, &name.span, name.text, name.text, name.text);
            zones.push(Zone {
                name: name.text.into(),
                state: state.unwrap_or(ZoneState::Enabled),
            });
        }
    }
    zones
}
