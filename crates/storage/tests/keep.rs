//! What the file promises: nothing forgotten, and an error with its name when it cannot be kept.
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
use storage::{Error, Keep};

fn changes() -> Vec<Vec<StoreChange>> {
    let bytes = |n: u64| Bytes::from(vec![n as u8; 100 + n as usize]);
    let mut all = vec![vec![StoreChange::Head(bytes(1))]];
    for n in 0..40 {
        let entries = vec![bytes(n), bytes(n + 1)];
        let items = vec![bytes(n)];
        all.push(vec![
            StoreChange::Accepted { from: n, entries },
            StoreChange::Items { from: n + 1, items },
            StoreChange::Head(bytes(n)),
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

fn written(file: &Path) -> Keep {
    let mut keep = Keep::open(file).expect("opens");
    changes().iter().for_each(|batch| keep.write(batch).expect("is written"));
    keep
}

#[test]
fn what_was_written_is_there_after_opening_again_and_equals_a_store_in_memory() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("log.redb");
    let mut memory = MemoryStore::default();
    let mut keep = Keep::open(&file).expect("opens");
    assert_eq!(keep.load().expect("loads"), memory.load().expect("loads"));
    for batch in changes() {
        keep.write(&batch).expect("is written");
        let Ok(()) = memory.write(&batch);
        // A copy of the open file is what a killed process leaves behind.
        let killed = directory.path().join("killed.redb");
        std::fs::copy(&file, &killed).expect("is copied");
        let mut left = Keep::open(&killed).expect("opens");
        assert_eq!(left.load().expect("loads"), memory.load().expect("loads"));
        drop(keep);
        keep = Keep::open(&file).expect("opens");
        assert_eq!(keep.load().expect("loads"), memory.load().expect("loads"));
    }
}

#[test]
fn a_file_cut_short_is_an_error_that_names_it_and_never_an_empty_store() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("log.redb");
    let whole = written(&file).load().expect("loads");
    let bytes = std::fs::read(&file).expect("is read");
    for part in 1..20 {
        let cut = directory.path().join(format!("cut-{part}.redb"));
        std::fs::write(&cut, &bytes[..bytes.len() * part / 20]).expect("is written");
        match Keep::open(&cut).and_then(|mut keep| keep.load()) {
            Ok(kept) => assert_eq!(kept, whole, "all of it, cut to {part} of 20"),
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
        match Keep::open(&flipped).and_then(|mut keep| keep.load()) {
            Ok(kept) => assert_eq!(kept, whole, "byte {place}"),
            Err(error) => {
                assert!(error.to_string().contains("flipped.redb"), "{error}");
                found += 1;
            }
        }
    }
    assert!(found > 0, "some byte that was flipped held something");
}

#[derive(Debug)]
struct Full(FileBackend, Arc<AtomicBool>);

impl StorageBackend for Full {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }
    fn set_len(&self, length: u64) -> io::Result<()> {
        self.room()?;
        self.0.set_len(length)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.room()?;
        self.0.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.room()?;
        self.0.write(offset, data)
    }
}

impl Full {
    fn room(&self) -> io::Result<()> {
        match self.1.load(Ordering::Relaxed) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

#[test]
fn a_full_disk_is_an_error_nothing_is_written_after_it_and_what_was_before_it_is_kept() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("log.redb");
    let whole = written(&file).load().expect("loads");
    let full = Arc::new(AtomicBool::new(false));
    let opened = OpenOptions::new().read(true).write(true).open(&file).expect("opens");
    let backend = Full(FileBackend::new(opened).expect("opens"), full.clone());
    let mut keep = Keep::with_backend(&file, backend).expect("opens");
    full.store(true, Ordering::Relaxed);
    let promise = [StoreChange::Head(Bytes::from_static(b"a promise"))];
    let error = keep.write(&promise).expect_err("is full");
    assert!(matches!(error, Error::Write { .. }) && error.to_string().contains("log.redb"), "{error}");
    full.store(false, Ordering::Relaxed);
    let error = keep.write(&promise).expect_err("not after a failure");
    assert!(matches!(error, Error::AfterFailure { .. }), "{error}");
    drop(keep);
    assert_eq!(Keep::open(&file).expect("opens").load().expect("loads"), whole);
}

#[test]
fn spans_beyond_the_bound_go_the_oldest_first() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut keep = Keep::open(directory.path().join("log.redb")).expect("opens");
    for n in 0..10_u8 {
        keep.append_spans_within(&[Bytes::from(vec![n; 100])], 450).expect("is written");
    }
    let spans = keep.spans(0, 100).expect("reads");
    assert_eq!(spans.iter().map(|span| span.0).collect::<Vec<_>>(), [6, 7, 8, 9]);
    assert_eq!(keep.spans(8, 1).expect("reads"), [(8, Bytes::from(vec![8; 100]))]);
}
