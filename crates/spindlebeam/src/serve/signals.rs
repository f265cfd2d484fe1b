//! The signals that the process handles.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The installed signal handlers.
pub(super) struct Signals {
    /// SIGHUP: read the configuration file again.
    pub(super) hangup: Signal,
    /// SIGTERM and SIGINT: shut down.
    pub(super) stop: StopSignals,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// If the system refuses to install one.
    pub(super) fn install() -> io::Result<Self> {
        let hangup = signal(SignalKind::hangup())?;
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { hangup, stop: StopSignals { terminate, interrupt } })
    }
}

/// The signals that end the process.
pub(super) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Waits for one of the signals and returns its name.
    pub(super) async fn recv(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
}
