//! Command line tool that simulates scenario files and prints their scores.
#![forbid(unsafe_code)]

mod table;

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use emulator::scenario::Scenario;
use emulator::simulation;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// Exit code: a rule was violated.
const EXIT_VIOLATION: u8 = 1;
/// Exit code: the scenario is not usable.
const EXIT_UNUSABLE: u8 = 2;

/// Plays days on a site in a box: cache nodes, archive, inventory, callers and gateways.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a day on a virtual clock and prints what it was worth. Ends with 1 when a rule was broken, with 2 when the
    /// scenario cannot be played.
    Run {
        /// The day, as a file (see scenarios/).
        scenario: PathBuf,
        /// The day's chance: one seed is one day, the same each time.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Plays this many days, with the seeds that follow; the tables are of the first.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
        days: u64,
        /// Keeps the reports of all days as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let Command::Run { scenario, seed, days, json } = Arguments::parse().command;
    match run(&scenario, seed, days, json) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_VIOLATION),
        Err(error) => {
            eprintln!("spindlebeam-lab: {error:#}");
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}

/// Simulates the scenario and returns the number of violations.
fn run(file: &std::path::Path, seed: u64, days: u64, json: Option<PathBuf>) -> Result<usize> {
    let scenario = Scenario::read(file)?;
    println!("{}: {}", file.display(), scenario.description);
    let mut reports = Vec::new();
    for seed in (0..days).map(|n| seed.wrapping_add(n)) {
        let began = Instant::now();
        let report = simulation::run(&scenario, seed);
        let took = began.elapsed().as_secs_f64();
        if reports.is_empty() {
            table::print(&report);
        }
        println!(
            "seed {seed}: G {:.4}, rules broken {}, digest {:016x}, {:.1} s of day in {took:.2} s",
            report.score.g,
            report.violations,
            report.digest,
            scenario.duration.as_secs_f64()
        );
        report.findings.iter().take(10).for_each(|finding| println!("  {finding} (seed {seed})"));
        reports.push(report);
    }
    if let Some(file) = json {
        let text = serde_json::to_string_pretty(&reports)?;
        std::fs::write(&file, text).with_context(|| file.display().to_string())?;
    }
    Ok(reports.iter().map(|report| report.violations).sum())
}
