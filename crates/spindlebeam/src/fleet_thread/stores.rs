//! The files of the replicated log and of the ledger.

use agreement::{MemoryStore, Store, StoreChange, StoredState};
use anyhow::{Context, Result, ensure};
use std::path::Path;
use storage::DiskStore;

const LOG_FILE: &str = "council.redb";
const LEDGER_FILE: &str = "ledger.redb";

/// The store of the log: on disk for a voter that has a folder, in memory otherwise.
pub(super) enum LogStore {
    Disk(DiskStore),
    Memory(MemoryStore),
}

impl Store for LogStore {
    type Error = storage::Error;

    fn load(&mut self) -> Result<StoredState, storage::Error> {
        match self {
            LogStore::Disk(store) => store.load(),
            LogStore::Memory(store) => store.load().map_err(|never| match never {}),
        }
    }

    fn write(&mut self, changes: &[StoreChange]) -> Result<(), storage::Error> {
        match self {
            LogStore::Disk(store) => store.write(changes),
            LogStore::Memory(store) => store.write(changes).map_err(|never| match never {}),
        }
    }
}

/// The stores of a balancer.
pub(super) struct Stores {
    pub(super) log: LogStore,
    /// The ledger's records, if there is a folder.
    pub(super) ledger: Option<DiskStore>,
}

impl Stores {
    /// Opens or creates the files in the folder. Without a folder the log is in memory and the ledger is not stored.
    pub(super) fn open(folder: Option<&Path>, is_voter: bool) -> Result<Self> {
        let Some(folder) = folder else {
            return Ok(Self { log: LogStore::Memory(MemoryStore::default()), ledger: None });
        };
        std::fs::create_dir_all(folder).with_context(|| format!("--keep {}", folder.display()))?;
        ensure!(folder.is_dir(), "--keep {}: not a folder", folder.display());
        let log = match is_voter {
            true => LogStore::Disk(DiskStore::open(folder.join(LOG_FILE))?),
            false => LogStore::Memory(MemoryStore::default()),
        };
        Ok(Self { log, ledger: Some(DiskStore::open(folder.join(LEDGER_FILE))?) })
    }
}
