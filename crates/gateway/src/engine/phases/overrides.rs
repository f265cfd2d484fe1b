//! Executes the actions of the override store.

use crate::engine::Engine;
use crate::engine::overrides::{CommandReply, OVERRIDES_FILE};
use maintenance::{CommandOutcome, OperatorOverrides, OverrideChange, OverrideCommand, StoreAction};
use std::io;

impl Engine {
    /// Executes the pending actions. A change reaches the decision module before the caller gets the answer that it is
    /// in force.
    pub(in crate::engine) fn run_override_actions(&mut self) {
        while let Some(action) = self.overrides.poll_action() {
            match action {
                StoreAction::Read => self.overrides.start_read(self.handle.inputs.clone()),
                StoreAction::Write(overrides) => {
                    self.overrides.start_write(self.handle.inputs.clone(), overrides);
                }
                StoreAction::Changed(change, endpoints) => {
                    self.log_override_change(&change);
                    self.apply_override_change(&endpoints);
                    self.dispatch_events();
                }
                StoreAction::Answer(reply, outcome) => answer_command(reply, outcome),
            }
        }
    }

    /// Handles the result of reading the overrides file. The overrides are in force before the startup gate is
    /// released.
    pub(in crate::engine) fn handle_overrides_read(&mut self, result: io::Result<Option<OperatorOverrides>>) {
        let now = self.now_ms();
        let succeeded = self.overrides.handle_read(now, result);
        self.run_override_actions();
        if succeeded {
            self.startup.release_overrides();
        }
    }

    fn log_override_change(&self, change: &OverrideChange) {
        let overrides = self.overrides.current();
        match change {
            OverrideChange::Command(command) => log::info!("overrides: applied {}", command_text(command)),
            OverrideChange::Loaded if self.startup.awaits_overrides() => {
                log::info!("overrides: loaded from the previous process: {overrides:?}");
            }
            OverrideChange::Loaded => log::debug!("overrides: loaded from the other process: {overrides:?}"),
            OverrideChange::RolledBack => {
                log::error!("overrides: {OVERRIDES_FILE} not written; unwritten commands rolled back");
            }
        }
    }

    fn apply_override_change(&mut self, endpoints: &[String]) {
        self.apply_overridden_entries(endpoints);
        let draining = self.overrides.current().is_draining();
        if self.handle.draining.send_replace(draining) != draining {
            log::info!("engine: {}", if draining { "draining" } else { "drain ended" });
        }
    }
}

fn answer_command(reply: CommandReply, outcome: CommandOutcome) {
    if outcome == CommandOutcome::Applied {
        log::warn!("overrides: applied, but {OVERRIDES_FILE} is not written yet: the disk is stalled");
    }
    let _ = reply.send(outcome); // fails if the caller has given up
}

fn command_text(command: &OverrideCommand) -> String {
    match command {
        OverrideCommand::Disable(endpoint) => format!("disable {endpoint}"),
        OverrideCommand::Enable(endpoint) => format!("enable {endpoint}"),
        OverrideCommand::Drain => "drain".into(),
        OverrideCommand::Undrain => "undrain".into(),
    }
}
