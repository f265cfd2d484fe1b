//! The format of the file on disk stays compatible with the first version: tables, keys and values.

use agreement::{Store, StoreChange};
use bytes::Bytes;
use expect_test::expect_file;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::fmt::Write;
use std::path::Path;
use storage::DiskStore;

fn bytes(value: u8) -> Bytes {
    Bytes::from(vec![value; usize::from(value)])
}

/// Creates a file with hard state, accepted entries, items, a snapshot and records.
fn write_file(file: &Path) {
    let mut store = DiskStore::open(file).unwrap();
    store
        .write(&[
            StoreChange::HardState(bytes(1)),
            StoreChange::Accepted { from: 0, entries: vec![bytes(2), bytes(3), bytes(4)] },
            StoreChange::Items { from: 1, items: vec![bytes(5), bytes(6), bytes(7)] },
        ])
        .unwrap();
    store
        .write(&[
            StoreChange::Snapshot(bytes(8)),
            StoreChange::Trim(1),
            StoreChange::Accepted { from: 2, entries: vec![bytes(9)] },
        ])
        .unwrap();
    store.append_records(&[bytes(10), bytes(11)]).unwrap();
}

/// Formats every table, key and value of the file, read by `redb` directly.
fn dump(file: &Path) -> String {
    let database = Database::open(file).unwrap();
    let transaction = database.begin_read().unwrap();
    let mut names: Vec<String> =
        transaction.list_tables().unwrap().map(|table| table.name().to_owned()).collect();
    names.sort();
    let mut text = String::new();
    for name in names {
        writeln!(text, "table {name}").unwrap();
        let text_keys: TableDefinition<&str, &[u8]> = TableDefinition::new(&name);
        let number_keys: TableDefinition<u64, &[u8]> = TableDefinition::new(&name);
        let unit_key: TableDefinition<(), u64> = TableDefinition::new(&name);
        if let Ok(table) = transaction.open_table(text_keys) {
            for (key, value) in table.iter().unwrap().map(Result::unwrap) {
                writeln!(text, "  {:?} {:02x?}", key.value(), value.value()).unwrap();
            }
        } else if let Ok(table) = transaction.open_table(number_keys) {
            for (key, value) in table.iter().unwrap().map(Result::unwrap) {
                writeln!(text, "  {} {:02x?}", key.value(), value.value()).unwrap();
            }
        } else {
            let table = transaction.open_table(unit_key).unwrap();
            writeln!(text, "  () {}", table.get(()).unwrap().unwrap().value()).unwrap();
        }
    }
    text
}

#[test]
fn new_file_has_the_format_of_the_first_version() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("new.redb");
    write_file(&file);
    expect_file!["golden/tables.txt"].assert_eq(&dump(&file));
}

#[test]
fn file_of_the_first_version_can_be_read_and_written() {
    let first_version = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/first-version.redb");
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("old.redb");
    std::fs::copy(first_version, &file).unwrap();
    assert_eq!(dump(&file), include_str!("golden/tables.txt"));
    let mut store = DiskStore::open(&file).unwrap();
    let stored = store.load().unwrap();
    assert_eq!(stored.hard_state, Some(bytes(1)));
    assert_eq!(stored.accepted, [bytes(2), bytes(3), bytes(9)]);
    assert_eq!((stored.first_revision, stored.items), (2, vec![bytes(6), bytes(7)]));
    assert_eq!(stored.snapshot, Some(bytes(8)));
    let records: Vec<_> = store.records(0, 9).unwrap().into_iter().map(|record| record.bytes).collect();
    assert_eq!(records, [bytes(10), bytes(11)]);
    store.write(&[StoreChange::Items { from: 4, items: vec![bytes(12)] }]).unwrap();
    assert_eq!(store.load().unwrap().items, [bytes(6), bytes(7), bytes(12)]);
}
