//! Messages between the engine and the fleet thread. The engine accepts requests under a lease, and topology changes
//! according to a calendar. The fleet agrees on both outside this crate.

use crate::topology_text::hold_text;
use audit::lease::Lease;
use audit::ledger;
use calendar::{Calendar, HoldReason};
use decide::api::Micros;
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

// Calendar types used by the front and by the reload of the configuration.
pub use calendar::{ChangeKind, ChangeRecord, Proposal};

/// The clock shared by the engine and the fleet thread. Unix time is read once; from then on, the clock only advances.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Unix time in microseconds at `started_at`.
    pub start_unix_us: Micros,
    /// When `start_unix_us` was read.
    pub started_at: Instant,
}

impl Clock {
    /// Creates a clock that shows this Unix time now.
    #[must_use]
    pub fn start(start_unix_us: Micros) -> Self {
        Self { start_unix_us, started_at: tokio::time::Instant::now().into_std() }
    }

    /// Returns the Unix time in microseconds. Never goes back, even if the system's date is changed.
    #[must_use]
    pub fn now(&self) -> Micros {
        // Tokio's clock is the system clock, except in tests that pause it.
        let elapsed = tokio::time::Instant::now().into_std().saturating_duration_since(self.started_at);
        self.start_unix_us + elapsed.as_micros() as Micros
    }
}

/// An update from the fleet thread to the engine.
#[derive(Debug)]
pub enum FleetUpdate {
    /// The lease, sent after each change.
    Lease(Box<Lease>),
    /// The calendar. Its index is already built, because building it would stall the engine.
    Calendar(Arc<Calendar>),
}

/// An event that the engine sends to the fleet thread for the ledger.
#[derive(Debug)]
pub enum AuditEvent {
    /// A topology change was applied or held.
    Record(ChangeRecord),
    /// The counted activity, sent every second.
    Report(ledger::ActivityReport),
    /// An activity period that is removed from the counter because a new version needs its place, for this balancer's
    /// own ledger.
    Entry(ledger::LedgerEntry),
}

/// A call of the admin endpoint, answered with a status and a JSON body.
#[derive(Debug)]
pub enum FleetCall {
    /// The state of the fleet.
    View,
    /// A proposal for the calendar.
    Propose(Box<Proposal>),
}

/// A call and the channel for its status and JSON body.
pub type FleetRequest = (FleetCall, oneshot::Sender<(u16, String)>);

/// Why a change that concerns the whole fleet cannot be made now.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeCheckError {
    /// The change is held by the calendar, or because no lease is held.
    #[error("{}", hold_text(reason, *until))]
    Held {
        /// Why the change is held.
        reason: HoldReason,
        /// The end of the hold as Unix time in milliseconds, if it is known.
        until: Option<u64>,
    },
    /// The engine has stopped.
    #[error("the core has stopped")]
    Stopped,
}

/// The engine's end of the connection to the fleet thread.
#[derive(Debug)]
pub struct FleetLink {
    /// Updates that the fleet has agreed on. If the channel is closed, the engine keeps its lease and is fenced when
    /// the lease ends.
    pub updates: mpsc::UnboundedReceiver<FleetUpdate>,
    /// Sends calls of the admin endpoint to the fleet thread.
    pub calls: mpsc::Sender<FleetRequest>,
    /// Sends audit events to the fleet thread. Events are lost while the channel is full; lost events are counted.
    pub audit_events: mpsc::Sender<AuditEvent>,
    /// The clock of the lease, made from [`Engine::clock`](crate::engine::Engine::clock). The engine uses it from now
    /// on.
    pub clock: Clock,
    /// This balancer's number in the fleet file.
    pub number: u16,
    /// This balancer's incarnation, drawn when the process starts.
    pub incarnation: u64,
    /// The hash of the program's name and build.
    pub program: u64,
    /// The hash of this balancer's configuration.
    pub configuration: u64,
}
