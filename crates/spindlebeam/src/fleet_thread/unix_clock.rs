//! The Unix time of this machine, which tests can shift.

use anyhow::{Context, Result};

/// The environment variable that shifts the clock, for tests of fleets whose clocks differ.
const OFFSET_VARIABLE: &str = "SPINDLEBEAM_CLOCK_OFFSET_MS";

/// Unix time in microseconds, shifted by an offset. The fleet takes its timestamps from the leader's clock only.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnixClock {
    offset_ms: i64,
}

impl UnixClock {
    /// Reads the offset from the environment; it is 0 if not set.
    pub(super) fn from_environment() -> Result<Self> {
        let offset_ms = match std::env::var(OFFSET_VARIABLE) {
            Ok(text) => text.parse().with_context(|| {
                format!("{OFFSET_VARIABLE}: {text:?} is not a whole number of milliseconds")
            })?,
            Err(_) => 0,
        };
        Ok(Self { offset_ms })
    }

    /// Returns the shifted Unix time in microseconds.
    pub(super) fn now(self) -> u64 {
        gateway::engine::unix_us().saturating_add_signed(self.offset_ms.saturating_mul(1_000))
    }
}
