//! Records which process of a balancer serves when several share its inherited listening socket.
//!
//! A file in the shared folder holds the id of the process that became ready last.

use gateway::engine::Handle;
use gateway::setup::Config;
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::spawn_blocking;
use tokio::time::timeout;

/// The name of the file in the shared folder.
const FILE_NAME: &str = "spindlebeam-serving";
/// Timeout for reading the file during the shutdown.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// The file that names the serving process.
#[derive(Clone)]
pub(super) struct ServingFile(PathBuf);

impl ServingFile {
    /// Returns the file of this balancer, or `None` without an inherited socket or a shared folder.
    pub(super) fn new(config: &Config) -> Option<Self> {
        config.inherited_descriptor?;
        config.state_folder.as_ref().map(|folder| Self(folder.join(FILE_NAME)))
    }

    /// Writes the id of this process as soon as it is ready.
    pub(super) async fn announce(self, handle: Handle) {
        handle.wait_until_ready().await;
        let process_id = std::process::id().to_string();
        let file = self.0.clone();
        if let Ok(Err(error)) = spawn_blocking(move || std::fs::write(file, process_id)).await {
            log::warn!("{}: {error}; the previous process keeps accepting for a while", self.0.display());
        }
    }

    /// Returns whether the file names another process. Returns `false` if the disk does not answer in time, since
    /// accepting for longer does no harm.
    pub(super) async fn names_another_process(self) -> bool {
        let read = timeout(READ_TIMEOUT, spawn_blocking(move || std::fs::read_to_string(self.0))).await;
        let process_id = read.ok().and_then(|read| read.ok()?.ok()?.parse().ok());
        process_id.is_some_and(|process_id: u32| process_id != std::process::id())
    }
}
