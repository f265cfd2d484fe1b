//! The ledger's records: opaque bytes. Only the newest records are retained.
use crate::{
    disk_store::{DiskStore, table_if_exists},
    error::Error,
};
use bytes::Bytes;
use redb::{ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};

/// Maximum size of all records together, in bytes. Beyond it, the oldest records are removed.
pub const MAX_RECORDS_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum number of records. Beyond it, the oldest records are removed.
pub const MAX_RECORDS: u64 = 1_000_000;

const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("spans");
const RECORDS_BYTES: TableDefinition<(), u64> = TableDefinition::new("spans_bytes");

/// A record of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The number of the record; increases by one from record to record.
    pub number: u64,
    /// The content of the record.
    pub bytes: Bytes,
}

impl DiskStore {
    /// Appends records in one durable transaction. Removes the oldest records beyond [`MAX_RECORDS_BYTES`] and
    /// [`MAX_RECORDS`].
    ///
    /// # Errors
    /// Returns an error if the records are not durable.
    pub fn append_records(&mut self, records: &[Bytes]) -> Result<(), Error> {
        self.append_records_within(records, MAX_RECORDS_BYTES)
    }

    /// Appends records like [`DiskStore::append_records`], but retains at most `max_bytes` if that is less than
    /// [`MAX_RECORDS_BYTES`].
    ///
    /// # Errors
    /// Returns an error if the records are not durable.
    #[doc(hidden)]
    pub fn append_records_within(&mut self, records: &[Bytes], max_bytes: u64) -> Result<(), Error> {
        self.write_transaction(|transaction| {
            let mut table = transaction.open_table(RECORDS)?;
            let mut size_table = transaction.open_table(RECORDS_BYTES)?;
            let mut size = size_table.get(())?.map_or(0, |size| size.value());
            let first = table.last()?.map_or(0, |last| last.0.value() + 1);
            for (number, record) in (first..).zip(records) {
                table.insert(number, &record[..])?;
                size += record.len() as u64;
            }
            while size > max_bytes.min(MAX_RECORDS_BYTES) || table.len()? > MAX_RECORDS {
                let Some(oldest) = table.pop_first()? else { break };
                size = size.saturating_sub(oldest.1.value().len() as u64);
            }
            size_table.insert((), size)?;
            Ok(())
        })
    }

    /// Returns the records from number `from` on, at most `limit`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read.
    pub fn records(&self, from: u64, limit: usize) -> Result<Vec<Record>, Error> {
        let read = || -> Result<Vec<Record>, redb::Error> {
            let transaction = self.database.begin_read()?;
            let Some(table) = table_if_exists(transaction.open_table(RECORDS))? else {
                return Ok(Vec::new());
            };
            let rows = table.range(from..)?.take(limit);
            rows.map(|row| {
                let (number, bytes) = row?;
                Ok(Record { number: number.value(), bytes: Bytes::copy_from_slice(bytes.value()) })
            })
            .collect()
        };
        read().map_err(|source| Error::Read { file: self.file.clone(), source })
    }
}
