//! Messages between the engine and the fleet thread. The engine accepts requests under a lease and topology changes by a calendar;
//! both are agreed elsewhere.

use crate::topology_text::hold_text;
use audit::lease::Lease;
use audit::ledger;
use calendar::{Calendar, HoldReason};
use decide::api::Micros;
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

// Types of the calendar that the front and the reload of the configuration name.
pub use calendar::{ChangeKind, ChangeRecord, Proposal};

/// The clock that the engine and the fleet thread share: Unix time is read once, and then only advances.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Unix time at `base`.
    pub unix: Micros,
    /// When that was read.
    pub base: Instant,
}

impl Clock {
    /// A clock that starts now at this Unix time.
    #[must_use]
    pub fn start(unix: Micros) -> Self {
        Self { unix, base: tokio::time::Instant::now().into_std() }
    }

    /// Unix time in microseconds. Never goes back, whatever happens to the system's date.
    #[must_use]
    pub fn now(&self) -> Micros {
        // Tokio's clock is the system's, except in tests that pause it.
        let elapsed = tokio::time::Instant::now().into_std().saturating_duration_since(self.base);
        self.unix + elapsed.as_micros() as Micros
    }
}

/// What the fleet thread sends to the engine.
#[derive(Debug)]
pub enum FleetUpdate {
    /// The lease, after each change of it.
    Lease(Box<Lease>),
    /// The calendar with its index built, which the engine must not wait for.
    Calendar(Arc<Calendar>),
}

/// What the engine sends to the fleet thread, for the ledger.
#[derive(Debug)]
pub enum AuditEvent {
    /// A topology change was applied or held.
    Record(ChangeRecord),
    /// The activity counted, every second.
    Report(ledger::ActivityReport),
    /// An activity period that must make room, for this balancer's own ledger.
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

/// A call, and where its answer goes.
pub type FleetRequest = (FleetCall, oneshot::Sender<(u16, String)>);

/// Why a change that concerns the whole fleet may not be made now.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeCheckError {
    /// The calendar holds it.
    #[error("{}", hold_text(reason, *until))]
    Held {
        /// Why.
        reason: HoldReason,
        /// Until when, as Unix time in milliseconds, if that is known.
        until: Option<u64>,
    },
    /// The engine is gone.
    #[error("the core has stopped")]
    Stopped,
}

/// The engine's end of the connection to the fleet thread.
#[derive(Debug)]
pub struct FleetLink {
    /// Agreed updates. If closed, the engine keeps its lease, and is fenced when that ends.
    pub updates: mpsc::UnboundedReceiver<FleetUpdate>,
    /// Where calls go.
    pub calls: mpsc::Sender<FleetRequest>,
    /// Where audit events go; events that find it full are lost, and counted.
    pub audit_events: mpsc::Sender<AuditEvent>,
    /// The clock of the lease: that of [`Engine::clock`](crate::engine::Engine::clock), which the engine uses from now on.
    pub clock: Clock,
    /// This balancer's number in the fleet file.
    pub number: u16,
    /// Its incarnation, drawn at its start.
    pub incarnation: u64,
    /// Hash of the program's name and build.
    pub program: u64,
    /// Hash of its configuration.
    pub configuration: u64,
}
