//! Durable storage of a voter in one `redb` file.
use crate::error::Error;
use agreement::{Revision, Store, StoreChange, StoredState};
use bytes::Bytes;
use redb::{
    Builder, Database, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition,
    WriteTransaction, backends::FileBackend,
};
use std::{
    any::Any,
    fs::OpenOptions,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
};

/// Size of the page cache, in bytes. A small cache suffices, because the log is read only once, at startup.
pub const CACHE_BYTES: usize = 4 * 1024 * 1024;

const SINGLE: TableDefinition<&str, &[u8]> = TableDefinition::new("single");
const ACCEPTED: TableDefinition<u64, &[u8]> = TableDefinition::new("accepted");
const ITEMS: TableDefinition<u64, &[u8]> = TableDefinition::new("items");
const HARD_STATE: &str = "head";
const SNAPSHOT: &str = "snapshot";

/// An open storage file. Only one process can have it open at a time.
#[derive(Debug)]
pub struct DiskStore {
    pub(crate) database: Database,
    pub(crate) file: PathBuf,
    /// Whether a write has failed. All further writes are rejected.
    failed: bool,
}

impl DiskStore {
    /// Opens the file, creates it if it does not exist, and checks its integrity.
    ///
    /// # Errors
    /// Returns an error if the file cannot be opened or is damaged.
    pub fn open(file: impl AsRef<Path>) -> Result<Self, Error> {
        let file = file.as_ref();
        let open_error = |source: redb::Error| Error::Open { file: file.to_owned(), source };
        let opened = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(file);
        let opened = opened.map_err(|error| open_error(redb::Error::Io(error)))?;
        let backend = FileBackend::new(opened).map_err(|error| open_error(error.into()))?;
        DiskStore::with_backend(file, backend)
    }

    /// Opens a store on the given backend, like [`DiskStore::open`]. `file` is the name used in errors.
    ///
    /// # Errors
    /// Returns an error if the content of the backend cannot be opened or is damaged.
    #[doc(hidden)]
    pub fn with_backend(file: impl AsRef<Path>, backend: impl StorageBackend) -> Result<Self, Error> {
        let file = file.as_ref().to_owned();
        let opened = catch_redb_panic(&file, || {
            let mut builder = Builder::new();
            builder.set_cache_size(CACHE_BYTES);
            let mut database = builder.create_with_backend(backend)?;
            let is_intact = database.check_integrity()?;
            Ok((database, is_intact))
        })?;
        match opened {
            Ok((database, true)) => Ok(DiskStore { database, file, failed: false }),
            Ok((_, false)) => {
                Err(Error::Damaged { file, damage: "checksums do not match the content".into() })
            }
            Err(source) => Err(Error::Open { file, source }),
        }
    }

    /// Runs one durable transaction. After a transaction has failed, all further ones are rejected.
    pub(crate) fn write_transaction(
        &mut self, write: impl FnOnce(&WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), Error> {
        if self.failed {
            return Err(Error::AfterFailure { file: self.file.clone() });
        }
        let written = self.database.begin_write().map_err(redb::Error::from).and_then(|transaction| {
            write(&transaction)?;
            transaction.commit().map_err(redb::Error::from)
        });
        written.map_err(|source| {
            self.failed = true;
            Error::Write { file: self.file.clone(), source }
        })
    }

    fn read(&self) -> Result<StoredState, redb::Error> {
        let transaction = self.database.begin_read()?;
        let mut stored = StoredState::default();
        let Some(single) = table_if_exists(transaction.open_table(SINGLE))? else { return Ok(stored) };
        stored.hard_state = single.get(HARD_STATE)?.map(|value| Bytes::copy_from_slice(value.value()));
        stored.snapshot = single.get(SNAPSHOT)?.map(|snapshot| Bytes::copy_from_slice(snapshot.value()));
        for row in transaction.open_table(ACCEPTED)?.iter()? {
            stored.accepted.push(Bytes::copy_from_slice(row?.1.value()));
        }
        read_items(&transaction, &mut stored)?;
        Ok(stored)
    }
}

/// Reads the committed items and checks that no revision is missing between them.
fn read_items(transaction: &ReadTransaction, stored: &mut StoredState) -> Result<(), redb::Error> {
    for row in transaction.open_table(ITEMS)?.iter()? {
        let (revision, item) = row?;
        if stored.items.is_empty() {
            stored.first_revision = revision.value();
        }
        let expected = stored.first_revision + stored.items.len() as u64;
        if revision.value() != expected {
            return Err(redb::Error::Corrupted(format!("no item at revision {expected}")));
        }
        stored.items.push(Bytes::copy_from_slice(item.value()));
    }
    Ok(())
}

/// Converts a panic of `redb`, which can be caused by a damaged file, into an error.
fn catch_redb_panic<T>(
    file: &Path, work: impl FnOnce() -> Result<T, redb::Error>,
) -> Result<Result<T, redb::Error>, Error> {
    catch_unwind(AssertUnwindSafe(work)).map_err(|panic| {
        let damage =
            panic_message(panic.as_ref()).unwrap_or_else(|| "redb panicked without a message".into());
        Error::Damaged { file: file.to_owned(), damage }
    })
}

fn panic_message(panic: &(dyn Any + Send)) -> Option<String> {
    let owned = panic.downcast_ref::<String>().cloned();
    owned.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()))
}

/// Returns the table, or `None` if it does not exist because it was never written.
pub(crate) fn table_if_exists<T>(table: Result<T, redb::TableError>) -> Result<Option<T>, redb::Error> {
    match table {
        Ok(table) => Ok(Some(table)),
        Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

fn apply(transaction: &WriteTransaction, change: &StoreChange) -> Result<(), redb::Error> {
    match change {
        StoreChange::HardState(hard_state) => {
            transaction.open_table(SINGLE)?.insert(HARD_STATE, &hard_state[..])?;
        }
        StoreChange::Snapshot(snapshot) => {
            transaction.open_table(SINGLE)?.insert(SNAPSHOT, &snapshot[..])?;
        }
        StoreChange::Accepted { from, entries } => replace_accepted(transaction, *from, entries)?,
        StoreChange::Items { from, items } => append_items(transaction, *from, items)?,
        StoreChange::Trim(revision) => {
            transaction.open_table(ITEMS)?.retain_in(..=*revision, |_, _| false)?;
        }
    }
    Ok(())
}

fn replace_accepted(transaction: &WriteTransaction, from: u64, entries: &[Bytes]) -> Result<(), redb::Error> {
    let mut table = transaction.open_table(ACCEPTED)?;
    table.retain_in(from.., |_, _| false)?;
    for (index, entry) in (from..).zip(entries) {
        table.insert(index, &entry[..])?;
    }
    Ok(())
}

fn append_items(transaction: &WriteTransaction, from: Revision, items: &[Bytes]) -> Result<(), redb::Error> {
    let mut table = transaction.open_table(ITEMS)?;
    let next = table.last()?.map(|last| last.0.value() + 1);
    // After a snapshot from another balancer, the new items do not follow the stored ones, which are removed.
    if next.is_some_and(|next| next != from) {
        table.retain(|_, _| false)?;
    }
    for (revision, item) in (from..).zip(items) {
        table.insert(revision, &item[..])?;
    }
    Ok(())
}

impl Store for DiskStore {
    type Error = Error;

    fn load(&mut self) -> Result<StoredState, Error> {
        let read = catch_redb_panic(&self.file, || self.read())?;
        read.map_err(|source| Error::Read { file: self.file.clone(), source })
    }

    fn write(&mut self, changes: &[StoreChange]) -> Result<(), Error> {
        self.write_transaction(|transaction| {
            // The first batch creates all tables, so that a table missing later is reported as damage and not read
            // as an empty store.
            transaction.open_table(SINGLE)?;
            transaction.open_table(ACCEPTED)?;
            transaction.open_table(ITEMS)?;
            changes.iter().try_for_each(|change| apply(transaction, change))
        })
    }
}
