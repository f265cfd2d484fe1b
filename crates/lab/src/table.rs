//! Prints the report of a simulation as text and tables.

use comfy_table::{CellAlignment, Table, presets};
use emulator::score::GroupScore;
use emulator::simulation::Report;

/// Prints the score, the tables of the classes and municipios, the counters and the faults of a simulation.
pub(crate) fn print_report(report: &Report) {
    let score = &report.score;
    println!(
        "G {:.4}: whole day {:.4}, worst 10 s {:.4} (from {} s), worst class {:.4}, worst municipio {:.4}; penalties: \
         wasted work {:.4}, late failures {:.4}",
        score.g,
        score.whole,
        score.worst_window,
        score.worst_from_s,
        score.worst_class,
        score.worst_municipio,
        score.penalties[0],
        score.penalties[1]
    );
    print_groups("class", &score.classes);
    print_groups("municipio", &score.municipios);
    println!(
        "{} client attempts, {:.2} gateway attempts for each; {} cache misses; the origin executed {} fetches and {} \
         writes and dropped {} duplicates; {:.1}% of the nodes' work was wasted",
        report.client_attempts,
        report.attempts as f64 / report.client_attempts.max(1) as f64,
        report.misses,
        report.fetches,
        report.writes,
        report.dropped_duplicates,
        100.0 * report.wasted_fraction
    );
    let reasons: Vec<String> =
        report.reasons.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
    println!(
        "reasons of rejections and failures: {}",
        if reasons.is_empty() { "nothing".into() } else { reasons.join(", ") }
    );
    for (at, text) in &report.fault_log {
        println!("{:8.2} s  {text}", *at as f64 / 1e6);
    }
}

/// Prints a table of the scores of classes or municipios; `heading` is the heading of the names.
fn print_groups(heading: &str, groups: &[GroupScore]) {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header([
        heading,
        "asked",
        "in time",
        "late",
        "refused",
        "failed",
        "no answer",
        "worth",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    ]);
    for group in groups {
        let mut cells = vec![group.name.clone(), group.intents.to_string()];
        cells.extend(group.outcomes.iter().map(u64::to_string));
        cells.push(format!("{:.4}", group.served));
        cells.extend(group.response_times_us.iter().map(|us| format!("{:.1}", *us as f64 / 1e3)));
        table.add_row(cells);
    }
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    println!("{table}");
}
