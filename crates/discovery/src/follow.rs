//! Follows the endpoint list at the configured address, and moves to another address when the configuration changes.

use crate::agent::Agent;
use crate::dial::Dial;
use crate::endpoint_history::EndpointHistory;
use crate::pace::{Delivery, RetrySchedule};
use futures_util::future::OptionFuture;
use proto::discovery::{EndpointList, WatchEvent};
use std::net::SocketAddr;
use tokio::sync::watch;
use tokio::time::Instant;

/// Follows discovery at the latest address until the returned future is dropped, and publishes each event as it
/// arrives.
///
/// A list known from an earlier run is updated by a watch alone, which takes one request instead of two when a hundred
/// balancers start at once. After the address has changed, the previous agent is followed until the new one has sent
/// its list, since changes sent by the previous agent still apply. Its states also take precedence over a new agent
/// with an older revision.
pub async fn follow<D: Dial>(
    mut address: watch::Receiver<SocketAddr>, known: Option<EndpointList>, delivery: Delivery,
    balancers: u32, dial: D, publish: impl Fn(WatchEvent),
) {
    let new_agent =
        |addr, revision| Agent::new(addr, revision, RetrySchedule::new(delivery, balancers), dial.clone());
    let revision = known.as_ref().map(|list| list.revision);
    let mut current = new_agent(*address.borrow_and_update(), revision);
    let mut previous: Option<Agent<D>> = None;
    let mut history = EndpointHistory::new(known);
    loop {
        let previous_event = OptionFuture::from(previous.as_mut().map(Agent::next_event));
        tokio::select! {
            biased; // events of the previous agent are handled before the list of the new agent, which ends it
            Some(event) = previous_event => publish(match event {
                WatchEvent::List(list) => WatchEvent::List(history.apply_previous(list)),
                other => other,
            }),
            event = current.next_event() => publish(match event {
                WatchEvent::List(list) => {
                    previous = None;
                    WatchEvent::List(history.apply_current(list, Instant::now()))
                }
                other => other,
            }),
            Ok(()) = address.changed() => {
                let addr = *address.borrow_and_update();
                if addr == current.addr() {
                    continue; // the address changed and changed back: the open connections are still valid
                }
                let replaced = std::mem::replace(&mut current, new_agent(addr, None));
                // After two changes in a row, the agent that has sent a list is still followed.
                previous = previous.or(Some(replaced)).map(Agent::retire);
                history.change_agent();
            }
        }
    }
}
