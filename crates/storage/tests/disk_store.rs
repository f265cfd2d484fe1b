//! The guarantees of the storage file: no durable write is lost, and an error names a file that cannot be read or
//! written.
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

/// Batches that contain every kind of change.
fn change_batches() -> Vec<Vec<StoreChange>> {
    let bytes = |n: u64| Bytes::from(vec![n as u8; 100 + n as usize]);
    let mut batches = vec![vec![StoreChange::HardState(bytes(1))]];
    for n in 0..40 {
        let entries = vec![bytes(n), bytes(n + 1)];
        let items = vec![bytes(n)];
        batches.push(vec![
            StoreChange::Accepted { from: n, entries },
            StoreChange::Items { from: n + 1, items },
            StoreChange::HardState(bytes(n)),
        ]);
    }
    batches.push(vec![
        StoreChange::Snapshot(bytes(9)),
        StoreChange::Trim(17),
        StoreChange::Accepted { from: 20, entries: vec![] },
    ]);
    batches.push(vec![StoreChange::Items { from: 60, items: vec![bytes(60), bytes(61)] }]);
    batches
}

/// Creates the file and writes all batches.
fn open_with_changes(file: &Path) -> DiskStore {
    let mut store = DiskStore::open(file).expect("the file opens");
    change_batches().iter().for_each(|batch| store.write(batch).expect("the write succeeds"));
    store
}

#[test]
fn reopened_file_equals_a_memory_store_after_each_write() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let file = directory.path().join("log.redb");
    let mut memory = MemoryStore::default();
    let mut store = DiskStore::open(&file).expect("the file opens");
    assert_eq!(store.load().expect("the content loads"), memory.load().expect("the content loads"));
    for batch in change_batches() {
        store.write(&batch).expect("the write succeeds");
        let Ok(()) = memory.write(&batch);
        // A copy of the open file has the content that a killed process leaves behind.
        let copied_file = directory.path().join("copy.redb");
        std::fs::copy(&file, &copied_file).expect("the file is copied");
        let mut copy = DiskStore::open(&copied_file).expect("the file opens");
        assert_eq!(copy.load().expect("the content loads"), memory.load().expect("the content loads"));
        drop(store);
        store = DiskStore::open(&file).expect("the file opens");
        assert_eq!(store.load().expect("the content loads"), memory.load().expect("the content loads"));
    }
}

#[test]
fn truncated_file_is_an_error_and_never_an_empty_store() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let file = directory.path().join("log.redb");
    let expected = open_with_changes(&file).load().expect("the content loads");
    let bytes = std::fs::read(&file).expect("the file is read");
    for part in 1..20 {
        let truncated = directory.path().join(format!("truncated-{part}.redb"));
        std::fs::write(&truncated, &bytes[..bytes.len() * part / 20]).expect("the write succeeds");
        match DiskStore::open(&truncated).and_then(|mut store| store.load()) {
            Ok(stored) => assert_eq!(stored, expected, "content of the file truncated to {part}/20"),
            Err(error) => assert!(error.to_string().contains(&format!("truncated-{part}.redb")), "{error}"),
        }
    }
}

#[test]
fn flipped_bytes_are_an_error_or_change_nothing() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let file = directory.path().join("log.redb");
    let expected = open_with_changes(&file).load().expect("the content loads");
    let bytes = std::fs::read(&file).expect("the file is read");
    let mut errors = 0;
    for position in (0..bytes.len()).step_by(bytes.len() / 150) {
        let flipped = directory.path().join("flipped.redb");
        let mut damaged = bytes.clone();
        damaged[position] ^= 0xff;
        std::fs::write(&flipped, &damaged).expect("the write succeeds");
        match DiskStore::open(&flipped).and_then(|mut store| store.load()) {
            Ok(stored) => assert_eq!(stored, expected, "content after flipping byte {position}"),
            Err(error) => {
                assert!(error.to_string().contains("flipped.redb"), "{error}");
                errors += 1;
            }
        }
    }
    assert!(errors > 0, "no flipped byte caused an error");
}

/// A file whose writes fail while `is_full` is set.
#[derive(Debug)]
struct FillableDisk {
    file: FileBackend,
    is_full: Arc<AtomicBool>,
}

impl StorageBackend for FillableDisk {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.file.read(offset, out)
    }
    fn set_len(&self, length: u64) -> io::Result<()> {
        self.check_capacity()?;
        self.file.set_len(length)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.check_capacity()?;
        self.file.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.check_capacity()?;
        self.file.write(offset, data)
    }
}

impl FillableDisk {
    fn check_capacity(&self) -> io::Result<()> {
        match self.is_full.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

#[test]
fn write_to_full_disk_is_an_error_and_rejects_later_writes() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let file = directory.path().join("log.redb");
    let expected = open_with_changes(&file).load().expect("the content loads");
    let is_full = Arc::new(AtomicBool::new(false));
    let opened = OpenOptions::new().read(true).write(true).open(&file).expect("the file opens");
    let backend =
        FillableDisk { file: FileBackend::new(opened).expect("the file opens"), is_full: is_full.clone() };
    let mut store = DiskStore::with_backend(&file, backend).expect("the file opens");
    is_full.store(true, Ordering::Relaxed);
    let change = [StoreChange::HardState(Bytes::from_static(b"new hard state"))];
    let error = store.write(&change).expect_err("the disk is full");
    assert!(matches!(error, Error::Write { .. }) && error.to_string().contains("log.redb"), "{error}");
    is_full.store(false, Ordering::Relaxed);
    let error = store.write(&change).expect_err("writes after a failure are rejected");
    assert!(matches!(error, Error::AfterFailure { .. }), "{error}");
    drop(store);
    assert_eq!(DiskStore::open(&file).expect("the file opens").load().expect("the content loads"), expected);
}

#[test]
fn oldest_records_beyond_the_limit_are_removed() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let mut store = DiskStore::open(directory.path().join("log.redb")).expect("the file opens");
    for n in 0..10_u8 {
        store.append_records_within(&[Bytes::from(vec![n; 100])], 450).expect("the write succeeds");
    }
    let records = store.records(0, 100).expect("the records are read");
    assert_eq!(records.iter().map(|record| record.number).collect::<Vec<_>>(), [6, 7, 8, 9]);
    let expected = Record { number: 8, bytes: Bytes::from(vec![8; 100]) };
    assert_eq!(store.records(8, 1).expect("the records are read"), [expected]);
}
