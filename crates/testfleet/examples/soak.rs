//! Executes seeded soak runs one after the other: `soak PROGRAM FIRST_SEED RUNS [crowd|batches]`.
//!
//! With `crowd`, each run has a busy crowd at a balancer that is sent SIGTERM. With `batches`, each run has a crowd
//! that sends batches to a balancer that is sent a series of signals. Prints a report per seed, and exits with 1 if a
//! run violated a rule or failed to execute.

use std::path::PathBuf;
use std::process::ExitCode;
use testfleet::soak::{Plan, run};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let (program, first, runs, draw_plan): (_, _, _, fn(u64) -> Plan) = match &args[..] {
        [program, first, runs] => (program, first, runs, Plan::draw),
        [program, first, runs, crowd] if crowd == "crowd" => (program, first, runs, Plan::draw_with_crowd),
        [program, first, runs, batches] if batches == "batches" => {
            (program, first, runs, Plan::draw_with_batches)
        }
        _ => {
            eprintln!("usage: soak PROGRAM FIRST_SEED RUNS [crowd|batches]");
            return ExitCode::FAILURE;
        }
    };
    let (Ok(first), Ok(runs)) = (first.parse::<u64>(), runs.parse::<u64>()) else {
        eprintln!("FIRST_SEED and RUNS must be whole numbers from 0, got {first:?} and {runs:?}");
        return ExitCode::FAILURE;
    };
    let mut failed_runs = 0;
    for seed in first..first + runs {
        match run(&PathBuf::from(program), &std::env::temp_dir(), draw_plan(seed)) {
            Ok(report) => {
                failed_runs += u64::from(!report.verdict.violations.is_empty());
                println!("{report}");
            }
            Err(error) => {
                failed_runs += 1;
                println!("seed {seed}: {error}");
            }
        }
    }
    println!("{} of {runs} runs kept all rules", runs - failed_runs);
    ExitCode::from(u8::from(failed_runs > 0))
}
