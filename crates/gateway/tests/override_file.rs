//! The file of operator overrides, shared by two processes of one balancer, and on a disk that fails.

use gateway::override_file::OverrideFile;
use maintenance::{OperatorOverrides, OverriddenList, OverrideCommand, WriteError};
use std::fs;
use tempfile::TempDir;

fn file(folder: &TempDir) -> OverrideFile {
    OverrideFile::new(folder.path().join("orders.json"))
}

fn drained() -> OperatorOverrides {
    let mut list = OverriddenList::new(None, OperatorOverrides::default());
    list.apply_command(1, &OverrideCommand::Drain).unwrap();
    list.overrides().clone()
}

#[test]
fn saved_overrides_are_polled_once_by_the_other_process() {
    let folder = TempDir::new().unwrap();
    let (mut one, mut other) = (file(&folder), file(&folder));
    assert_eq!(other.poll().unwrap(), None, "there is no file yet");
    one.save(&drained()).unwrap();
    assert_eq!((one.poll().unwrap(), other.poll().unwrap()), (None, Some(drained())));
    assert_eq!(other.poll().unwrap(), None);
    let names = fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let mut names: Vec<String> = names.collect();
    names.sort();
    assert_eq!(names, ["orders.json", "orders.lock"], "no temporary file is left");
}

#[test]
fn save_does_not_replace_overrides_written_by_another_process_since() {
    let folder = TempDir::new().unwrap();
    let (mut one, mut other) = (file(&folder), file(&folder));
    assert_eq!((one.poll().unwrap(), other.poll().unwrap()), (None, None));
    one.save(&drained()).unwrap();
    assert_eq!(other.save(&OperatorOverrides::default()), Err(WriteError::Changed(drained())));
    assert_eq!(file(&folder).poll().unwrap(), Some(drained()), "the drain stays");
    other.save(&OperatorOverrides::default()).unwrap();
    assert_eq!(one.poll().unwrap(), Some(OperatorOverrides::default()), "replaces what was read");
}

#[test]
fn invalid_file_is_moved_aside_and_next_one_is_read() {
    let folder = TempDir::new().unwrap();
    let mut it = file(&folder);
    for broken in [&b"{\"version\":1,\"out\":"[..], b"{\"version\":9}", b"\xff\xfe"] {
        fs::write(it.path(), broken).unwrap();
        assert_eq!(it.poll().unwrap(), None);
        assert!(!it.path().exists());
        assert_eq!(fs::read(folder.path().join("orders.unreadable")).unwrap(), broken, "the content is kept");
    }
    file(&folder).save(&OperatorOverrides::default()).unwrap();
    assert_eq!(it.poll().unwrap(), Some(OperatorOverrides::default()));
}

#[test]
fn unreadable_file_stays_in_place() {
    let folder = TempDir::new().unwrap();
    let mut it = file(&folder);
    fs::create_dir(it.path()).unwrap(); // a read of it fails
    assert!(it.poll().is_err());
    assert!(matches!(it.save(&drained()), Err(WriteError::Failed(_))), "it is not replaced either");
    assert!(it.path().exists());
}
