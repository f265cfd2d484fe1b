//! Operator overrides: the endpoint list that they apply to, and the file that keeps them beyond the process.

use super::input::{Input, OperatorInput};
use crate::override_file::OverrideFile;
use maintenance::{
    CommandOutcome, Millis, OperatorOverrides, OverriddenList, OverrideCommand, OverrideStore, StoreAction,
    WriteError,
};
use proto::discovery::EndpointList;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_blocking, spawn_local};

/// The interval at which the file is checked for overrides of another process of this balancer. They must be in force
/// 250 ms after the other process has confirmed them.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The name of the overrides file.
pub(super) const OVERRIDES_FILE: &str = "spindlebeam-orders.json";

/// The channel for the outcome of an operator's command.
pub(super) type CommandReply = oneshot::Sender<CommandOutcome>;

/// The overrides in force, and their persistence.
pub(super) struct Overrides {
    list: OverriddenList,
    /// Commands that are being applied or written to the file.
    store: OverrideStore<CommandReply>,
    /// The overrides file; `None` if operators cannot send commands. Locked only by blocking tasks.
    file: Option<Arc<Mutex<OverrideFile>>>,
    /// Whether the last read of the file failed.
    read_failed: bool,
}

impl Overrides {
    /// Creates an empty set of overrides, stored in `folder` if it is given. Overrides do not apply to endpoints of
    /// `origin_flavor`.
    pub(super) fn new(folder: Option<&Path>, origin_flavor: Option<String>) -> Self {
        let file = folder.map(|folder| Arc::new(Mutex::new(OverrideFile::new(folder.join(OVERRIDES_FILE)))));
        Self {
            list: OverriddenList::new(origin_flavor, OperatorOverrides::default()),
            store: OverrideStore::new(file.is_some()),
            file,
            read_failed: false,
        }
    }

    /// Returns whether overrides are stored in a file.
    pub(super) fn are_stored(&self) -> bool {
        self.file.is_some()
    }

    /// Returns the overrides in force.
    pub(super) fn current(&self) -> &OperatorOverrides {
        self.list.overrides()
    }

    /// Stores an endpoint list, and returns it with the overrides applied.
    pub(super) fn apply_list(&mut self, list: &EndpointList) -> EndpointList {
        self.list.apply_list(list)
    }

    /// Returns the current list entries of these endpoints, with the overrides applied.
    pub(super) fn entries(&self, endpoints: &[String]) -> EndpointList {
        self.list.current_entries(endpoints)
    }

    /// Handles a command of an operator.
    pub(super) fn handle_command(&mut self, now: Millis, command: OverrideCommand, reply: CommandReply) {
        self.store.handle_command(now, &mut self.list, command, reply);
    }

    /// Handles the result of reading the file, and returns whether the read succeeded. After a failure, the next poll
    /// reads the file again, and the startup continues to wait.
    pub(super) fn handle_read(&mut self, now: Millis, result: io::Result<Option<OperatorOverrides>>) -> bool {
        let succeeded = result.is_ok();
        if let Err(error) = &result
            && !self.read_failed
        {
            log::error!("overrides: {OVERRIDES_FILE} cannot be read: {error}; retrying");
        }
        self.read_failed = !succeeded;
        self.store.handle_read(now, &mut self.list, result.ok().flatten());
        succeeded
    }

    /// Handles the result of writing the file.
    pub(super) fn handle_write(&mut self, now: Millis, result: Result<(), WriteError>) {
        self.store.handle_write(now, &mut self.list, result);
    }

    /// Checks the timeouts of commands, and whether the file must be read.
    pub(super) fn tick(&mut self, now: Millis) {
        self.store.tick(now, &mut self.list);
    }

    /// Returns the next action that the engine must execute.
    pub(super) fn poll_action(&mut self) -> Option<StoreAction<CommandReply>> {
        self.store.poll()
    }

    /// Starts reading the file. The result is sent to `inputs`.
    pub(super) fn start_read(&self, inputs: mpsc::UnboundedSender<Input>) {
        self.run_on_file(inputs, OverrideFile::poll, OperatorInput::OverridesRead);
    }

    /// Starts writing the file. The result is sent to `inputs`.
    pub(super) fn start_write(&self, inputs: mpsc::UnboundedSender<Input>, overrides: OperatorOverrides) {
        self.run_on_file(inputs, move |file| file.save(&overrides), OperatorInput::OverridesWritten);
    }

    /// Runs an operation on the file on a blocking thread, because the disk may stall for seconds.
    fn run_on_file<T: Send + 'static>(
        &self, inputs: mpsc::UnboundedSender<Input>,
        operation: impl FnOnce(&mut OverrideFile) -> T + Send + 'static,
        to_input: impl FnOnce(T) -> OperatorInput + 'static,
    ) {
        let Some(file) = self.file.clone() else { return };
        spawn_local(async move {
            let running =
                spawn_blocking(move || operation(&mut file.lock().unwrap_or_else(PoisonError::into_inner)));
            if let Ok(result) = running.await {
                let _ = inputs.send(Input::Operator(to_input(result)));
            }
        });
    }
}
