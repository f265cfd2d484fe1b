//! The overrides file: shared by two processes of one balancer, invalid, and on a disk that fails.

use gateway::override_file::OverrideFile;
use maintenance::{OperatorOverrides, OverriddenList, OverrideCommand, WriteError};
use std::fs;
use tempfile::TempDir;

fn override_file(folder: &TempDir) -> OverrideFile {
    OverrideFile::new(folder.path().join("orders.json"))
}

fn overrides_with_drain() -> OperatorOverrides {
    let mut list = OverriddenList::new(None, OperatorOverrides::default());
    list.apply_command(1, &OverrideCommand::Drain).unwrap();
    list.overrides().clone()
}

#[test]
fn saved_overrides_are_polled_once_by_the_other_process() {
    let folder = TempDir::new().unwrap();
    let (mut first, mut second) = (override_file(&folder), override_file(&folder));
    assert_eq!(second.poll().unwrap(), None, "the file does not exist yet");
    first.save(&overrides_with_drain()).unwrap();
    assert_eq!((first.poll().unwrap(), second.poll().unwrap()), (None, Some(overrides_with_drain())));
    assert_eq!(second.poll().unwrap(), None);
    let names = fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let mut names: Vec<String> = names.collect();
    names.sort();
    assert_eq!(names, ["orders.json", "orders.lock"], "no temporary file is left");
}

#[test]
fn save_fails_if_another_process_wrote_since_last_poll() {
    let folder = TempDir::new().unwrap();
    let (mut first, mut second) = (override_file(&folder), override_file(&folder));
    assert_eq!((first.poll().unwrap(), second.poll().unwrap()), (None, None));
    first.save(&overrides_with_drain()).unwrap();
    assert_eq!(second.save(&OperatorOverrides::default()), Err(WriteError::Changed(overrides_with_drain())));
    assert_eq!(override_file(&folder).poll().unwrap(), Some(overrides_with_drain()), "the drain stays");
    second.save(&OperatorOverrides::default()).unwrap();
    assert_eq!(
        first.poll().unwrap(),
        Some(OperatorOverrides::default()),
        "overrides that were read can be replaced"
    );
}

#[test]
fn invalid_file_is_moved_aside_and_next_one_is_read() {
    let folder = TempDir::new().unwrap();
    let mut file = override_file(&folder);
    for broken in [&b"{\"version\":1,\"out\":"[..], b"{\"version\":9}", b"\xff\xfe"] {
        fs::write(file.path(), broken).unwrap();
        assert_eq!(file.poll().unwrap(), None);
        assert!(!file.path().exists());
        assert_eq!(
            fs::read(folder.path().join("orders.unreadable")).unwrap(),
            broken,
            "the moved file keeps its content"
        );
    }
    override_file(&folder).save(&OperatorOverrides::default()).unwrap();
    assert_eq!(file.poll().unwrap(), Some(OperatorOverrides::default()));
}

#[test]
fn unreadable_file_stays_in_place() {
    let folder = TempDir::new().unwrap();
    let mut file = override_file(&folder);
    fs::create_dir(file.path()).unwrap(); // reading a folder fails
    assert!(file.poll().is_err());
    assert!(
        matches!(file.save(&overrides_with_drain()), Err(WriteError::Failed(_))),
        "an unreadable file is not replaced"
    );
    assert!(file.path().exists());
}
