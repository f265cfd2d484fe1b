//! Prints a report as tables.

use comfy_table::{CellAlignment, Table, presets};
use emulator::score::GroupScore;
use emulator::simulation::Report;

/// Prints a report.
pub(crate) fn print(report: &Report) {
    let score = &report.score;
    println!(
        "G {:.4}: whole day {:.4}, worst 10 s {:.4} (from {} s), worst class {:.4}, worst municipio {:.4}; prices: \
         wasted work {:.4}, failing late {:.4}",
        score.g,
        score.whole,
        score.worst_window,
        score.worst_from_s,
        score.worst_class,
        score.worst_municipio,
        score.penalties[0],
        score.penalties[1]
    );
    rows("class", &score.classes);
    rows("municipio", &score.municipios);
    println!(
        "{} tries, {:.2} attempts a try; {} reads missed, {} fetches and {} writes run by the archive, {} repeats \
         dropped; {:.1}% of nodes' work wasted",
        report.client_attempts,
        report.attempts as f64 / report.client_attempts.max(1) as f64,
        report.misses,
        report.fetches,
        report.writes,
        report.dropped_duplicates,
        100.0 * report.wasted_fraction
    );
    let reasons: Vec<String> = report.reasons.iter().map(|(why, n)| format!("{why} {n}")).collect();
    println!(
        "refused or failed for: {}",
        if reasons.is_empty() { "nothing".into() } else { reasons.join(", ") }
    );
    for (at, what) in &report.fault_log {
        println!("{:8.2} s  {what}", *at as f64 / 1e6);
    }
}

fn rows(what: &str, rows: &[GroupScore]) {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header([
        what,
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
    for row in rows {
        let mut cells = vec![row.name.clone(), row.intents.to_string()];
        cells.extend(row.outcomes.iter().map(u64::to_string));
        cells.push(format!("{:.4}", row.served));
        cells.extend(row.response_times_us.iter().map(|us| format!("{:.1}", *us as f64 / 1e3)));
        table.add_row(cells);
    }
    table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
    println!("{table}");
}
