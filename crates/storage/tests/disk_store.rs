//! The guarantees of the file: no durable write is lost, and an error names the file if it cannot be read or written.
use agreement::{MemoryStore, Store, StoreChange};
use bytes::Bytes;
use redb::{StorageBackend, backends::FileBackend};
use std::{
    fs::OpenOptions,
    io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};
use storage::{DiskStore, Error, Record};

fn changes() -> Vec<Vec<StoreChange>> {
    let bytes = |n: u64| Bytes::from(vec![n as u8; 100 + n as usize]);
    let mut all = vec![vec![StoreChange::HardState(bytes(1))]];
    for n in 0..40 {
        let entries = vec![bytes(n), bytes(n + 1)];
        let items = vec![bytes(n)];
        all.push(vec![
            StoreChange::Accepted { from: n, entries },
            StoreChange::Items { from: n + 1, items },
            StoreChange::HardState(bytes(n)),
        ]);
    }
    all.push(vec![
        StoreChange::Snapshot(bytes(9)),
        StoreChange::Trim(17),
        StoreChange::Accepted { from: 20, entries: vec![] },
    ]);
    all.push(vec![StoreChange::Items { from: 60, items: vec![bytes(60), bytes(61)] }]);
    all
}

fn written(file: &Path) -> DiskStore {
    let mut store = DiskStore::open(file).expect("opens");
    changes().iter().for_each(|batch| store.write(batch).expect("is written"));
    store
}

#[test]
fn reopened_file_holds_what_was_written_and_equals_a_memory_store() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("log.redb");
    let mut memory = MemoryStore::default();
    let mut store = DiskStore::open(&file).expect("opens");
    assert_eq!(store.load().expect("loads"), memory.load().expect("loads"));
    for batch in changes() {
        store.write(&batch).expect("is written");
        let Ok(()) = memory.write(&batch);
        // A copy of the open file is what a killed process leaves behind.
        let killed = directory.path().join("killed.redb");
        std::fs::copy(&file, &killed).expect("is copied");
        let mut left = DiskStore::open(&killed).expect("opens");
        assert_eq!(left.load().expect("loads"), memory.load().expect("loads"));
        drop(store);
        store = DiskStore::open(&file).expect("opens");
        assert_eq!(store.load().expect("loads"), memory.load().expect("loads"));
    }
}

#[test]
fn truncated_file_is_an_error_that_names_it_and_never_an_empty_store() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("log.redb");
    let whole = written(&file).load().expect("loads");
    let bytes = std::fs::read(&file).expect("is read");
    for part in 1..20 {
        let cut = directory.path().join(format!("cut-{part}.redb"));
        std::fs::write(&cut, &bytes[..bytes.len() * part / 20]).expect("is written");
        match DiskStore::open(&cut).and_then(|mut store| store.load()) {
            Ok(stored) => assert_eq!(stored, whole, "all of it, cut to {part} of 20"),
            Err(error) => assert!(error.to_string().contains(&format!("cut-{part}.redb")), "{error}"),
        }
    }
}

#[test]
fn flipped_bytes_are_an_error_or_change_nothing() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("log.redb");
    let whole = written(&file).load().expect("loads");
    let bytes = std::fs::read(&file).expect("is read");
    let mut found = 0;
    for place in (0..bytes.len()).step_by(bytes.len() / 150) {
        let flipped = directory.path().join("flipped.redb");
        let mut damaged = bytes.clone();
        damaged[place] ^= 0xff;
        std::fs::write(&flipped, &damaged).expect("is written");
        match DiskStore::open(&flipped).and_then(|mut store| store.load()) {
            Ok(stored) => assert_eq!(stored, whole, "byte {place}"),
            Err(error) => {
                assert!(error.to_string().contains("flipped.redb"), "{error}");
                found += 1;
            }
        }
    }
    assert!(found > 0, "some byte that was flipped held something");
}

#[derive(Debug)]
struct FullDisk(FileBackend, Arc<AtomicBool>);

impl StorageBackend for FullDisk {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }
    fn set_len(&self, length: u64) -> io::Result<()> {
        self.check_capacity()?;
        self.0.set_len(length)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.check_capacity()?;
        self.0.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.check_capacity()?;
        self.0.write(offset, data)
    }
}

impl FullDisk {
    fn check_capacity(&self) -> io::Result<()> {
        match self.1.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

#[test]
fn full_disk_is_an_error_after_which_nothing_is_written_and_earlier_writes_stay() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("log.redb");
    let whole = written(&file).load().expect("loads");
    let full = Arc::new(AtomicBool::new(false));
    let opened = OpenOptions::new().read(true).write(true).open(&file).expect("opens");
    let backend = FullDisk(FileBackend::new(opened).expect("opens"), full.clone());
    let mut store = DiskStore::with_backend(&file, backend).expect("opens");
    full.store(true, Ordering::Relaxed);
    let promise = [StoreChange::HardState(Bytes::from_static(b"a promise"))];
    let error = store.write(&promise).expect_err("is full");
    assert!(matches!(error, Error::Write { .. }) && error.to_string().contains("log.redb"), "{error}");
    full.store(false, Ordering::Relaxed);
    let error = store.write(&promise).expect_err("not after a failure");
    assert!(matches!(error, Error::AfterFailure { .. }), "{error}");
    drop(store);
    assert_eq!(DiskStore::open(&file).expect("opens").load().expect("loads"), whole);
}

#[test]
fn records_beyond_the_bound_are_removed_oldest_first() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut store = DiskStore::open(directory.path().join("log.redb")).expect("opens");
    for n in 0..10_u8 {
        store.append_records_within(&[Bytes::from(vec![n; 100])], 450).expect("is written");
    }
    let records = store.records(0, 100).expect("reads");
    assert_eq!(records.iter().map(|record| record.number).collect::<Vec<_>>(), [6, 7, 8, 9]);
    let expected = Record { number: 8, bytes: Bytes::from(vec![8; 100]) };
    assert_eq!(store.records(8, 1).expect("reads"), [expected]);
}
