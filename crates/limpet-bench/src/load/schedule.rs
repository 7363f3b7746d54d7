//! Schedule of faults of the fake targets and of configuration changes during a load.

use std::{
    net::SocketAddr,
    path::Path,
    time::{
        Duration,
        Instant, //
    },
};

use http::{
    Request,
    Response, //
};
use http_body_util::Full;
use limpet_fakes::target::Fault;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::load::client::PooledClient;

/// A fault or configuration change that one step of a schedule makes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ScheduledChange {
    /// Takes a zone out in the configuration.
    ZoneOut {
        /// Name of the zone.
        zone: Box<str>,
    },
    /// Brings a zone back in the configuration.
    ZoneIn {
        /// Name of the zone.
        zone: Box<str>,
    },
    /// Revokes every API key of a team in the configuration.
    RevokeKeys {
        /// Name of the team.
        team: Box<str>,
    },
    /// Injects a fault into fake targets.
    Fault {
        /// Names of the targets.
        targets: Vec<Box<str>>,
        /// Fault injected into each of these targets.
        fault: Fault,
    },
}

/// A change and the time at which it is made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduleStep {
    /// Seconds after the start of the load.
    pub at_s: f64,
    /// Change to make.
    pub change: ScheduledChange,
}

/// Why a schedule cannot be read or carried out.
#[derive(Debug, thiserror::Error)]
pub enum ScheduleError {
    /// The file cannot be read.
    #[error("cannot read the schedule: {0}")]
    Read(#[from] std::io::Error),
    /// The file is not a valid schedule.
    #[error("cannot parse the schedule: {0}")]
    Format(#[from] serde_json::Error),
    /// The time of a step is negative, not finite or before that of the previous step.
    #[error("step {index}: at_s = {at_s} must not be negative or before that of the previous step")]
    StepTime {
        /// Index of the step in the list.
        index: usize,
        /// Time of the step.
        at_s: f64,
    },
    /// The configuration text has no zone or team of that name.
    #[error("the configuration text has no {kind} {name:?}")]
    UnknownName {
        /// `zone` or `team`.
        kind: &'static str,
        /// Name in the schedule.
        name: Box<str>,
    },
    /// The fake platform or the fake targets could not be reached or rejected the change.
    #[error("{addr} did not apply the change: {reason}")]
    NotApplied {
        /// Address to which the change was sent.
        addr: SocketAddr,
        /// Transport error, or body of the response.
        reason: Box<str>,
    },
}

/// Parses a schedule: a JSON list of steps in the order of their times.
///
/// # Errors
///
/// Fails when the text is not a valid schedule or the times of the steps are not in order.
///
/// # Examples
///
/// ```
/// let text = r#"[{"at_s": 2.5, "change": {"zone_out": {"zone": "zone-b"}}}]"#;
/// assert_eq!(limpet_bench::load::parse_schedule(text).unwrap().len(), 1);
/// ```
pub fn parse_schedule(text: &str) -> Result<Vec<ScheduleStep>, ScheduleError> {
    let steps: Vec<ScheduleStep> = serde_json::from_str(text)?;
    let mut previous_at_s = 0.0;
    for (index, step) in steps.iter().enumerate() {
        if !step.at_s.is_finite() || step.at_s < previous_at_s {
            let at_s = step.at_s;
            return Err(ScheduleError::StepTime { index, at_s });
        }
        previous_at_s = step.at_s;
    }
    Ok(steps)
}

/// Returns the configuration text with a change applied, or `None` if the change is a fault of targets.
///
/// # Errors
///
/// Fails when the text has no zone or team of that name.
pub fn edit_config_text(
    text: &str,
    change: &ScheduledChange,
) -> Result<Option<String>, ScheduleError> {
    let (kind, table, name, field, value) = match change {
        ScheduledChange::ZoneOut { zone } => ("zone", "[[zone]]", zone, "state", "\"out\""),
        ScheduledChange::ZoneIn { zone } => ("zone", "[[zone]]", zone, "state", "\"in\""),
        ScheduledChange::RevokeKeys { team } => ("team", "[[team]]", team, "key_digests", "[]"),
        ScheduledChange::Fault { .. } => return Ok(None),
    };
    let name_line = format!("name = \"{name}\"");
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let (mut is_in_table, mut is_in_named_entry, mut is_edited) = (false, false, false);
    for line in &mut lines {
        if line.starts_with('[') {
            (is_in_table, is_in_named_entry) = (line == table, false);
        } else if is_in_table && *line == name_line {
            is_in_named_entry = true;
        } else if is_in_named_entry && line.split(" = ").next() == Some(field) {
            *line = format!("{field} = {value}");
            is_edited = true;
        }
    }
    if !is_edited {
        let name = name.clone();
        return Err(ScheduleError::UnknownName { kind, name });
    }
    Ok(Some(lines.join("\n") + "\n"))
}

/// Reads a schedule from a file.
pub(crate) fn read(path: &Path) -> Result<Vec<ScheduleStep>, ScheduleError> {
    parse_schedule(&std::fs::read_to_string(path)?)
}

/// Carries out the steps, each at its time after `started_at`; prints each to the standard error.
pub(crate) async fn run(
    steps: Vec<ScheduleStep>,
    mut config_text: String,
    platform: SocketAddr,
    target_control: SocketAddr,
    started_at: Instant,
) -> Result<(), ScheduleError> {
    let (platform_client, target_client) = (
        PooledClient::new(platform),
        PooledClient::new(target_control),
    );
    for step in steps {
        tokio::time::sleep_until((started_at + Duration::from_secs_f64(step.at_s)).into()).await;
        eprintln!(
            "{:>6.1} s: {:?}",
            started_at.elapsed().as_secs_f64(),
            step.change
        );
        if let Some(edited) = edit_config_text(&config_text, &step.change)? {
            config_text = edited;
            let request = Request::put("/admin/text").body(Full::from(config_text.clone()));
            send_request(&platform_client, platform, request).await?;
        }
        if let ScheduledChange::Fault {
            targets: names,
            fault,
        } = &step.change
        {
            let body = serde_json::to_string(fault)?;
            for name in names {
                let request =
                    Request::post(format!("/fault/{name}")).body(Full::from(body.clone()));
                send_request(&target_client, target_control, request).await?;
            }
        }
    }
    Ok(())
}

/// Sends a request; fails unless the response reports success.
async fn send_request(
    client: &PooledClient,
    addr: SocketAddr,
    request: http::Result<Request<Full<bytes::Bytes>>>,
) -> Result<(), ScheduleError> {
    let not_applied_error = |reason: String| ScheduleError::NotApplied {
        addr,
        reason: reason.into(),
    };
    let mut request = request.map_err(|error| not_applied_error(error.to_string()))?;
    let host = http::HeaderValue::from_static("limpet-bench");
    request.headers_mut().insert(http::header::HOST, host);
    let response: Response<_> = client
        .exchange(request)
        .await
        .map_err(|error| not_applied_error(error.to_string()))?;
    if response.status().is_success() {
        Ok(())
    } else {
        Err(not_applied_error(
            String::from_utf8_lossy(response.body()).into_owned(),
        ))
    }
}
