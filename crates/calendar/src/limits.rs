//! The limits of the calendar and its entries.

use crate::Millis;

/// Upper bound on the entries of a calendar: several for each day of the decades that a fleet runs.
pub const MAX_ENTRIES: usize = 10_000;
/// Upper bound on the occurrences of all entries, each counted once for every zone or host that its entry names. Their index
/// takes at most 50 MB.
pub const MAX_OCCURRENCES: usize = 100_000;
/// How long an entry is kept after its end, to explain holds of the last months.
pub const RETENTION_MS: Millis = 90 * 24 * 3600 * 1000;
/// Upper bound on the bytes of a name or a reason. It keeps a report on one line and 10,000 entries within some megabytes.
pub const MAX_TEXT: usize = 256;
/// Upper bound on the zones, hosts or exceptions of one entry. A freeze of more hosts should name zones.
pub const MAX_NAMES: usize = 256;
/// Upper bound on the days of one occurrence, and of an override. Longer entries should be changes of policy, not freezes.
pub const MAX_LENGTH_DAYS: i64 = 366;
/// Upper bound on the occurrences of one entry: a daily one for more than two years.
pub const MAX_PER_ENTRY: usize = 800;
