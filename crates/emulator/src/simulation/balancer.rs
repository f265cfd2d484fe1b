//! The interface of the decision module in a simulated gateway.

use crate::Micros;
use decide::api::{Action, Event};
use decide::policy::Router;

/// The decision module of a gateway, or a stand-in for it.
pub trait Balancer {
    /// Handles one event and appends the resulting actions.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);
}

impl Balancer for Router {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        Router::handle(self, now, event, actions);
    }
}
