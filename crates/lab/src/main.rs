//! A command-line tool that simulates scenario files and prints their scores.
#![forbid(unsafe_code)]

mod table;

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use emulator::scenario::Scenario;
use emulator::simulation;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

/// The exit code when a rule was violated.
const EXIT_VIOLATION: u8 = 1;
/// The exit code when the scenario cannot be read or is not valid, or the JSON file cannot be written.
const EXIT_ERROR: u8 = 2;

/// Simulates scenarios of a site: clients, gateways, cache nodes, discovery and the origin.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulates a scenario on a virtual clock and prints its score. The exit code is 1 if a rule was violated, and 2 if
    /// the scenario cannot be read or is not valid, or the JSON file cannot be written.
    Run {
        /// The scenario file; the folder scenarios/ has examples.
        scenario: PathBuf,
        /// The seed of the random numbers; the same scenario and seed give the same result.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The number of simulations, with consecutive seeds; tables are printed for the first only.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
        days: u64,
        /// The file to which the reports of all simulations are written as JSON.
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
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Simulates the scenario once for each seed, prints the results, and returns the total number of violations.
fn run(file: &std::path::Path, seed: u64, days: u64, json: Option<PathBuf>) -> Result<usize> {
    let scenario = Scenario::read(file)?;
    println!("{}: {}", file.display(), scenario.description);
    let mut reports = Vec::new();
    for seed in (0..days).map(|n| seed.wrapping_add(n)) {
        let started = Instant::now();
        let report = simulation::run(&scenario, seed);
        let elapsed = started.elapsed().as_secs_f64();
        if reports.is_empty() {
            table::print_report(&report);
        }
        println!(
            "seed {seed}: G {:.4}, rules broken {}, digest {:016x}, {:.1} s of day in {elapsed:.2} s",
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
        std::fs::write(&file, text).with_context(|| format!("cannot write {}", file.display()))?;
    }
    Ok(reports.iter().map(|report| report.violations).sum())
}
