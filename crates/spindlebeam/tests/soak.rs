//! Short soaks of real processes under faults with fixed seeds; `cargo run -p testfleet --example soak` runs other
//! seeds.

use rstest::rstest;
use std::path::Path;
use std::sync::Mutex;
use testfleet::soak::{Plan, run};

/// Serializes the runs, since each starts up to nine processes.
static RUN_LOCK: Mutex<()> = Mutex::new(());

#[rstest]
fn soak_keeps_all_rules(#[values(1, 2, 4, 8, 11, 13)] seed: u64) {
    let _guard = RUN_LOCK.lock();
    let (program, folder) = (Path::new(env!("CARGO_BIN_EXE_spindlebeam")), env!("CARGO_TARGET_TMPDIR"));
    let report = run(program, Path::new(folder), Plan::draw(seed)).unwrap();
    assert!(report.verdict.violations.is_empty(), "{report}");
    assert!(report.verdict.served > 100, "{report}");
}

#[rstest]
fn soak_with_pipelining_clients_keeps_all_rules(#[values(1, 2)] seed: u64) {
    let _guard = RUN_LOCK.lock();
    let (program, folder) = (Path::new(env!("CARGO_BIN_EXE_spindlebeam")), env!("CARGO_TARGET_TMPDIR"));
    let report = run(program, Path::new(folder), Plan::draw_with_batches(seed)).unwrap();
    assert!(report.verdict.violations.is_empty(), "{report}");
    assert!(report.verdict.calls > 100, "{report}");
}

#[test]
fn soak_draws_the_same_plan_from_the_same_seed() {
    for seed in 0..1_000 {
        assert_eq!(Plan::draw(seed), Plan::draw(seed));
    }
    assert_ne!(Plan::draw(1), Plan::draw(2));
}
