//! Memory and CPU usage of processes over a period of time, from `/proc`.

use std::{
    io,
    time::{
        Duration,
        Instant, //
    },
};

use clap::Args;
use serde::Serialize;

/// Clock ticks per second in `/proc/PID/stat`; Linux reports CPU times in this unit on every platform.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Interval between samples of the resident memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Arguments of `idle`.
#[derive(Clone, Debug, Args)]
pub struct IdleArguments {
    /// ID of a process to measure; may be repeated.
    #[arg(
        long,
        env = "LIMPET_BENCH_PIDS",
        required = true,
        value_delimiter = ','
    )]
    pub pid: Vec<u32>,
    /// Time of the measurement, in seconds.
    #[arg(long, env = "LIMPET_BENCH_DURATION_S", default_value_t = 10)]
    pub duration_s: u64,
}

/// Memory and CPU usage of one process.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessUsage {
    /// Process ID.
    pub pid: u32,
    /// Largest resident memory of all samples.
    pub resident_max_bytes: u64,
    /// CPU time used, as a percentage of one core.
    pub cpu_percent: f64,
}

/// Measures processes, prints their usage as JSON and returns true.
///
/// # Errors
///
/// Fails when a process is gone or `/proc` cannot be read.
pub async fn run(arguments: IdleArguments) -> Result<bool, Box<dyn std::error::Error>> {
    let usage = measure(&arguments.pid, Duration::from_secs(arguments.duration_s)).await?;
    println!("{}", serde_json::to_string_pretty(&usage)?);
    Ok(true)
}

/// Measures the usage of processes over `duration`.
///
/// # Errors
///
/// Fails when a process is gone or `/proc` cannot be read.
pub async fn measure(pids: &[u32], duration: Duration) -> io::Result<Vec<ProcessUsage>> {
    let started_at = Instant::now();
    let mut cpu_times_before = Vec::with_capacity(pids.len());
    for pid in pids {
        cpu_times_before.push(read_cpu_time_s(*pid)?);
    }
    let mut resident_max_bytes = vec![0; pids.len()];
    loop {
        for (pid, max_bytes) in pids.iter().zip(&mut resident_max_bytes) {
            *max_bytes = (*max_bytes).max(read_resident_bytes(*pid)?);
        }
        let time_left = duration.saturating_sub(started_at.elapsed());
        if time_left.is_zero() {
            break;
        }
        tokio::time::sleep(time_left.min(SAMPLE_INTERVAL)).await;
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let mut usage = Vec::with_capacity(pids.len());
    for ((pid, cpu_time_before), resident_max_bytes) in
        pids.iter().zip(cpu_times_before).zip(resident_max_bytes)
    {
        usage.push(ProcessUsage {
            pid: *pid,
            resident_max_bytes,
            cpu_percent: (read_cpu_time_s(*pid)? - cpu_time_before) / elapsed_s * 100.0,
        });
    }
    Ok(usage)
}

/// Returns the CPU time that a process has used, in seconds.
pub(crate) fn read_cpu_time_s(pid: u32) -> io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The process name in parentheses may contain spaces. User and system time are fields 14 and 15.
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: u64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Ok(ticks as f64 / CLOCK_TICKS_PER_S)
}

/// Returns the resident memory of a process, in bytes.
pub(crate) fn read_resident_bytes(pid: u32) -> io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|field| field.parse::<u64>().ok())
        .ok_or_else(|| io::Error::other(format!("process {pid} has no resident memory")))?;
    Ok(kib * 1024)
}
