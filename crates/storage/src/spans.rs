//! The ledger's spans: opaque bytes, the newest kept.
use crate::{Error, Keep, store::known};
use bytes::Bytes;
use redb::{ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};

/// Bytes of all spans together; beyond them the oldest go.
pub const SPAN_BYTES: u64 = 64 * 1024 * 1024;
/// Spans at most; beyond them the oldest go.
pub const SPANS: u64 = 1_000_000;

const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("spans");
const SIZE: TableDefinition<(), u64> = TableDefinition::new("spans_bytes");

impl Keep {
    /// Appends spans in one durable transaction and removes the oldest beyond the bounds.
    pub fn append_spans(&mut self, spans: &[Bytes]) -> Result<(), Error> {
        self.append_spans_within(spans, SPAN_BYTES)
    }

    /// As [`Keep::append_spans`], with a bound of bytes below [`SPAN_BYTES`].
    pub fn append_spans_within(&mut self, spans: &[Bytes], bytes: u64) -> Result<(), Error> {
        self.transact(|transaction| {
            let mut table = transaction.open_table(TABLE)?;
            let mut sizes = transaction.open_table(SIZE)?;
            let mut size = sizes.get(())?.map_or(0, |size| size.value());
            let first = table.last()?.map_or(0, |last| last.0.value() + 1);
            for (number, span) in (first..).zip(spans) {
                table.insert(number, &span[..])?;
                size += span.len() as u64;
            }
            while size > bytes.min(SPAN_BYTES) || table.len()? > SPANS {
                let Some(oldest) = table.pop_first()? else { break };
                size = size.saturating_sub(oldest.1.value().len() as u64);
            }
            sizes.insert((), size)?;
            Ok(())
        })
    }

    /// The spans from a number on, at most so many, each with its number.
    pub fn spans(&self, from: u64, most: usize) -> Result<Vec<(u64, Bytes)>, Error> {
        let read = || -> Result<Vec<(u64, Bytes)>, redb::Error> {
            let transaction = self.database.begin_read()?;
            let Some(table) = known(transaction.open_table(TABLE))? else { return Ok(Vec::new()) };
            let rows = table.range(from..)?.take(most);
            rows.map(|row| {
                let (number, span) = row?;
                Ok((number.value(), Bytes::copy_from_slice(span.value())))
            })
            .collect()
        };
        read().map_err(|source| Error::Read { file: self.file.clone(), source })
    }
}
