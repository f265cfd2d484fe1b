//! Limits on the calendar and its entries.

use crate::Millis;

/// Maximum number of entries in a calendar: several for each day of the decades that a fleet runs.
pub const MAX_ENTRIES: usize = 10_000;
/// Maximum number of occurrences of all entries together. An occurrence counts once for each zone or host that its
/// entry names. The index of this many occurrences takes at most 50 MB.
pub const MAX_OCCURRENCES: usize = 100_000;
/// Time for which an entry is kept after its end, so that holds of the last months can be explained.
pub const RETENTION_MS: Millis = 90 * 24 * 3600 * 1000;
/// Maximum length of a name or a reason. It keeps a report on one line, and 10,000 entries within a few megabytes.
pub const MAX_TEXT_BYTES: usize = 256;
/// Maximum number of zones, hosts or exceptions of one entry. A freeze of more hosts should name zones instead.
pub const MAX_NAMES_PER_ENTRY: usize = 256;
/// Maximum duration of one occurrence, and of an override. A longer restriction should be a change of policy, not a
/// freeze.
pub const MAX_DURATION_DAYS: i64 = 366;
/// Maximum number of occurrences of one entry: a daily freeze for more than two years.
pub const MAX_OCCURRENCES_PER_ENTRY: usize = 800;
