//! The file of orders, between two processes of one balancer and on a disk that fails.

use gateway::override_file::OverrideFile;
use maintenance::{OperatorOverrides, OverriddenList, OverrideCommand, WriteError};
use std::fs;
use tempfile::TempDir;

fn file(folder: &TempDir) -> OverrideFile {
    OverrideFile::new(folder.path().join("orders.json"))
}

fn drained() -> OperatorOverrides {
    let mut maintenance = OverriddenList::new(None, OperatorOverrides::default());
    maintenance.apply_command(1, &OverrideCommand::Drain).unwrap();
    maintenance.overrides().clone()
}

#[test]
fn what_one_process_saves_is_news_to_the_other_once() {
    let folder = TempDir::new().unwrap();
    let (mut one, mut other) = (file(&folder), file(&folder));
    assert_eq!(other.poll().unwrap(), None, "there is no file as yet");
    one.save(&drained()).unwrap();
    assert_eq!((one.poll().unwrap(), other.poll().unwrap()), (None, Some(drained())));
    assert_eq!(other.poll().unwrap(), None);
    let names = fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().file_name().into_string().unwrap());
    let mut names: Vec<String> = names.collect();
    names.sort();
    assert_eq!(names, ["orders.json", "orders.lock"], "nothing is left aside");
}

#[test]
fn orders_are_not_written_over_those_that_another_process_has_written_since() {
    let folder = TempDir::new().unwrap();
    let (mut one, mut other) = (file(&folder), file(&folder));
    assert_eq!((one.poll().unwrap(), other.poll().unwrap()), (None, None));
    one.save(&drained()).unwrap();
    assert_eq!(other.save(&OperatorOverrides::default()), Err(WriteError::Changed(drained())));
    assert_eq!(file(&folder).poll().unwrap(), Some(drained()), "the drain stands");
    other.save(&OperatorOverrides::default()).unwrap();
    assert_eq!(one.poll().unwrap(), Some(OperatorOverrides::default()), "written over what was seen");
}

#[test]
fn a_file_in_another_form_is_put_aside_and_the_next_one_is_read() {
    let folder = TempDir::new().unwrap();
    let mut it = file(&folder);
    for broken in [&b"{\"version\":1,\"out\":"[..], b"{\"version\":9}", b"\xff\xfe"] {
        fs::write(it.path(), broken).unwrap();
        assert_eq!(it.poll().unwrap(), None);
        assert!(!it.path().exists());
        assert_eq!(fs::read(folder.path().join("orders.unreadable")).unwrap(), broken, "nothing is lost");
    }
    file(&folder).save(&OperatorOverrides::default()).unwrap();
    assert_eq!(it.poll().unwrap(), Some(OperatorOverrides::default()));
}

#[test]
fn a_file_that_cannot_be_read_now_stays_where_it_is() {
    let folder = TempDir::new().unwrap();
    let mut it = file(&folder);
    fs::create_dir(it.path()).unwrap(); // a read of it fails
    assert!(it.poll().is_err());
    assert!(matches!(it.save(&drained()), Err(WriteError::Failed(_))), "nor is it written over");
    assert!(it.path().exists());
}
