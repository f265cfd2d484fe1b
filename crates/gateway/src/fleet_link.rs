//! What the core and the fleet's thread tell one another: the core takes requests under a lease and changes of topology by a
//! calendar, both agreed elsewhere.

use audit::lease::Lease;
use audit::ledger;
use calendar::Calendar;
use decide::api::Micros;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

// What the front and the reload of the configuration name of the calendar.
pub use calendar::{ChangeKind, ChangeRecord, Proposal};

/// The one clock that the core and the fleet's thread count on: Unix time once, then what only advances.
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

    /// Microseconds: never back, whatever becomes of the machine's date.
    #[must_use]
    pub fn now(&self) -> Micros {
        // Tokio's reading is the machine's, but for tests that stop it.
        let elapsed = tokio::time::Instant::now().into_std().saturating_duration_since(self.base);
        self.unix + elapsed.as_micros() as Micros
    }
}

/// What the fleet's thread tells the core.
#[derive(Debug)]
pub enum FleetUpdate {
    /// The lease, after each change of it.
    Lease(Box<Lease>),
    /// The calendar, settled: the core must not wait for it to be laid out.
    Calendar(Arc<Calendar>),
}

/// What the core tells the fleet's thread, for the ledger.
#[derive(Debug)]
pub enum AuditEvent {
    /// A change of topology was taken or is held.
    Record(ChangeRecord),
    /// What was counted, each second.
    Report(ledger::ActivityReport),
    /// A span whose place is needed, for the own ledger.
    Entry(ledger::LedgerEntry),
}

/// A call that comes through the door; answered with a status and a JSON body.
#[derive(Debug)]
pub enum FleetCall {
    /// How the fleet stands.
    View,
    /// A proposal for the calendar.
    Propose(Box<Proposal>),
}

/// A call, and where its answer goes.
pub type FleetRequest = (FleetCall, oneshot::Sender<(u16, String)>);

/// The core's end of the fleet's thread.
#[derive(Debug)]
pub struct FleetLink {
    /// What is agreed. Closed, it leaves the core with the lease that it has, and fenced at its end.
    pub updates: mpsc::UnboundedReceiver<FleetUpdate>,
    /// Where calls go.
    pub calls: mpsc::Sender<FleetRequest>,
    /// Where records and reports go; what finds it full is lost, and counted.
    pub audit_events: mpsc::Sender<AuditEvent>,
    /// The clock of the lease's copies: that of [`Engine::clock`](crate::engine::Engine::clock), which is the core's from now on.
    pub clock: Clock,
    /// This balancer's place in the fleet file.
    pub number: u16,
    /// Drawn at its start.
    pub incarnation: u64,
    /// Hash of the program's name and build.
    pub program: u64,
    /// Hash of its configuration.
    pub configuration: u64,
}
