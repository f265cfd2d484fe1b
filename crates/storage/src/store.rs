//! The store of a member of the council in one `redb` file.
use crate::Error;
use agreement::{Store, StoreChange, StoredState};
use bytes::Bytes;
use redb::{
    Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, WriteTransaction,
    backends::FileBackend,
};
use std::{
    any::Any,
    fs::OpenOptions,
    panic::{AssertUnwindSafe, catch_unwind},
    path::{Path, PathBuf},
};

/// Memory for pages, in bytes: the log is read once at a start, so that little is needed.
pub const CACHE_BYTES: usize = 4 * 1024 * 1024;

const SINGLE: TableDefinition<&str, &[u8]> = TableDefinition::new("single");
const ACCEPTED: TableDefinition<u64, &[u8]> = TableDefinition::new("accepted");
const ITEMS: TableDefinition<u64, &[u8]> = TableDefinition::new("items");
const HEAD: &str = "head";
const SNAPSHOT: &str = "snapshot";

/// The file, open; one process has it at a time.
#[derive(Debug)]
pub struct Keep {
    pub(crate) database: Database,
    pub(crate) file: PathBuf,
    failed: bool,
}

impl Keep {
    /// Opens the file, or makes it; checks all that it holds.
    pub fn open(file: impl AsRef<Path>) -> Result<Self, Error> {
        let file = file.as_ref();
        let failed = |source: redb::Error| Error::Open { file: file.to_owned(), source };
        let opened = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(file);
        let opened = opened.map_err(|error| failed(redb::Error::Io(error)))?;
        let backend = FileBackend::new(opened).map_err(|error| failed(error.into()))?;
        Keep::with_backend(file, backend)
    }

    /// As [`Keep::open`], on another backend; `file` names it in errors.
    pub fn with_backend(file: impl AsRef<Path>, backend: impl StorageBackend) -> Result<Self, Error> {
        let file = file.as_ref().to_owned();
        let opened = guarded(&file, || {
            let mut builder = Builder::new();
            builder.set_cache_size(CACHE_BYTES);
            let mut database = builder.create_with_backend(backend)?;
            let sound = database.check_integrity()?;
            Ok((database, sound))
        })?;
        match opened {
            Ok((database, true)) => Ok(Keep { database, file, failed: false }),
            Ok((_, false)) => Err(Error::Damaged { file, what: "checksums do not fit".into() }),
            Err(source) => Err(Error::Open { file, source }),
        }
    }

    /// One durable transaction; after a failed one there is no other.
    pub(crate) fn transact(
        &mut self, work: impl FnOnce(&WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), Error> {
        if self.failed {
            return Err(Error::AfterFailure { file: self.file.clone() });
        }
        let done = self.database.begin_write().map_err(redb::Error::from).and_then(|transaction| {
            work(&transaction)?;
            transaction.commit().map_err(redb::Error::from)
        });
        done.map_err(|source| {
            self.failed = true;
            Error::Write { file: self.file.clone(), source }
        })
    }

    fn read(&self) -> Result<StoredState, redb::Error> {
        let transaction = self.database.begin_read()?;
        let mut kept = StoredState::default();
        let Some(single) = known(transaction.open_table(SINGLE))? else { return Ok(kept) };
        let bytes =
            |key| Ok::<_, redb::Error>(single.get(key)?.map(|held| Bytes::copy_from_slice(held.value())));
        kept.head = bytes(HEAD)?;
        kept.snapshot = bytes(SNAPSHOT)?;
        for row in transaction.open_table(ACCEPTED)?.iter()? {
            kept.accepted.push(Bytes::copy_from_slice(row?.1.value()));
        }
        for row in transaction.open_table(ITEMS)?.iter()? {
            let (revision, item) = row?;
            if kept.items.is_empty() {
                kept.first_revision = revision.value();
            }
            if revision.value() != kept.first_revision + kept.items.len() as u64 {
                let gap = format!("no item at revision {}", kept.first_revision + kept.items.len() as u64);
                return Err(redb::Error::Corrupted(gap));
            }
            kept.items.push(Bytes::copy_from_slice(item.value()));
        }
        Ok(kept)
    }
}

/// Guards against a damaged file on which `redb` panics: no process ends for that.
fn guarded<T>(
    file: &Path, work: impl FnOnce() -> Result<T, redb::Error>,
) -> Result<Result<T, redb::Error>, Error> {
    let panicked = |panic: Box<dyn Any + Send>| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| text.to_string()));
        Error::Damaged { file: file.to_owned(), what: text.unwrap_or_else(|| "redb panicked".into()) }
    };
    catch_unwind(AssertUnwindSafe(work)).map_err(panicked)
}

/// A table that was never written is not there.
pub(crate) fn known<T>(table: Result<T, redb::TableError>) -> Result<Option<T>, redb::Error> {
    match table {
        Ok(table) => Ok(Some(table)),
        Err(redb::TableError::TableDoesNotExist(_)) => Ok(None),
        Err(error) => Err(error.into()),
    }
}

fn apply(transaction: &WriteTransaction, change: &StoreChange) -> Result<(), redb::Error> {
    match change {
        StoreChange::Head(head) => {
            transaction.open_table(SINGLE)?.insert(HEAD, &head[..])?;
        }
        StoreChange::Snapshot(snapshot) => {
            transaction.open_table(SINGLE)?.insert(SNAPSHOT, &snapshot[..])?;
        }
        StoreChange::Accepted { from, entries } => {
            let mut table = transaction.open_table(ACCEPTED)?;
            table.retain_in(*from.., |_, _| false)?;
            for (place, entry) in (*from..).zip(entries) {
                table.insert(place, &entry[..])?;
            }
        }
        StoreChange::Items { from, items } => {
            let mut table = transaction.open_table(ITEMS)?;
            let end = table.last()?.map(|last| last.0.value() + 1);
            // Items behind a snapshot that was taken over do not follow on those before it.
            if end.is_some_and(|end| end != *from) {
                table.retain(|_, _| false)?;
            }
            for (revision, item) in (*from..).zip(items) {
                table.insert(revision, &item[..])?;
            }
        }
        StoreChange::Trim(to) => {
            transaction.open_table(ITEMS)?.retain_in(..=*to, |_, _| false)?;
        }
    }
    Ok(())
}

impl Store for Keep {
    type Error = Error;

    fn load(&mut self) -> Result<StoredState, Error> {
        guarded(&self.file, || self.read())?.map_err(|source| Error::Read { file: self.file.clone(), source })
    }

    fn write(&mut self, changes: &[StoreChange]) -> Result<(), Error> {
        self.transact(|transaction| {
            // All tables from the first batch on: one missing later is damage, not an empty store.
            transaction.open_table(SINGLE)?;
            transaction.open_table(ACCEPTED)?;
            transaction.open_table(ITEMS)?;
            changes.iter().try_for_each(|change| apply(transaction, change))
        })
    }
}
