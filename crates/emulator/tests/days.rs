//! Tests of the scenario files, which must give the same result each time without violations, and of invalid scenarios.

use emulator::scenario::Scenario;
use emulator::simulation;
use std::path::{Path, PathBuf};
use std::time::Duration;

fn scenario_files() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == "toml"));
    files.sort();
    assert!(files.len() >= 10, "{files:?}");
    files
}

#[test]
fn same_seed_gives_same_simulation_without_violations() {
    for file in scenario_files() {
        let mut scenario = Scenario::read(&file).unwrap();
        scenario.fleet.cache_capacity = scenario.fleet.cache_capacity.min(300); // smaller caches are prefilled faster
        for seed in [1, 2, 3] {
            let (first, second) = (simulation::run(&scenario, seed), simulation::run(&scenario, seed));
            let name = file.display();
            assert_eq!(first.digest, second.digest, "{name}, seed {seed}");
            assert_eq!(first.score.g.to_bits(), second.score.g.to_bits(), "{name}, seed {seed}");
            assert_eq!(first.findings, [], "{name}, seed {seed}");
            assert!(
                first.client_attempts > 1_000 && first.score.g > 0.0,
                "{name}, seed {seed}: {:?}",
                first.score
            );
        }
    }
}

#[test]
fn different_seeds_give_different_simulations() {
    let scenario =
        Scenario { duration: Duration::from_secs(2), ..Scenario::read(&scenario_files()[1]).unwrap() };
    let scenario = Scenario { faults: Vec::new(), ..scenario };
    assert_ne!(simulation::run(&scenario, 1).digest, simulation::run(&scenario, 2).digest);
}

#[test]
fn invalid_scenario_error_names_position_or_field() {
    let error = |text: &str| Scenario::parse(text, Path::new("day.toml")).unwrap_err().to_string();
    let head = "about = \"x\"\nlasts = \"5s\"\n";
    for (text, expected) in [
        ("about = \"x\"\n", "lasts"),
        ("about = \"x\"\nlasts = \"5 parsecs\"\n", "line 2, column 9"),
        (&format!("{head}colour = 3\n"), "line 3, column 1"),
        (&format!("{head}[fleet]\nnodes = 0\n"), "fleet.nodes: 0 is invalid, must be from 1 to 100000"),
        (&format!("{head}[fleet]\nnodos = 3\n"), "nodos"),
        (
            &format!("{head}[[trouble]]\nat = \"9s\"\nkind = \"flush\"\npart = 0.5\n"),
            "trouble[0].at: 9s is invalid, must be before the end",
        ),
        (
            &format!("{head}[[trouble]]\nat = \"2s\"\nkind = \"flush\"\npart = 1.5\n"),
            "trouble[0].part: 1.5 is invalid, must be from 0 to 1",
        ),
        (&format!("{head}[[trouble]]\nat = \"2s\"\nkind = \"plague\"\n"), "plague"),
        (
            &format!("{head}[callers]\npatience = 0.0\n"),
            "callers.patience: 0.0 is invalid, must be above 0 and at most 1",
        ),
    ] {
        let message = error(text);
        assert!(
            message.starts_with("day.toml: ") && message.contains(expected),
            "{message:?}, expected {expected:?}"
        );
    }
}
