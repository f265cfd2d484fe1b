//! Hosts many instances of the decision module for a simulator: reads batches of events from standard input and writes
//! replies with actions to standard output.

use decide::api::{Action, Event, Micros, Settings, Token};
use decide::policy::Router;
use gossip::GossipState;
use simulator_adapter::{Batch, Instance, Reply, WireError, WireEvent, decode, read_frame};
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

/// The token of the timer for an instance's next gossip. The decision module uses other tokens.
const GOSSIP_TIMER: Token = Token(u64::MAX - 1);
/// The size of the input buffer and of the output buffer, in bytes.
const BUFFER_BYTES: usize = 1 << 16;

/// An instance of the decision module with its gossip state.
struct HostedInstance {
    router: Router,
    gossip: GossipState,
    rng: fastrand::Rng,
}

impl HostedInstance {
    fn new(seed: u64, settings: Settings, clock: Micros) -> Self {
        let gossip = GossipState::new(settings.instance as usize, settings.balancers as usize, clock);
        let router = Router::new(settings, seed, clock);
        // The seed differs from the router's, so that the two sequences of random numbers are not correlated.
        Self { router, gossip, rng: fastrand::Rng::with_seed(!seed) }
    }

    fn schedule_gossip(&mut self) -> Action {
        Action::Timer { delay_us: self.gossip.next_interval(self.rng.f64()), token: GOSSIP_TIMER }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spindlebeam-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), WireError> {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut host = Host::default();
    while let Some((records, body)) = read_frame(&mut input)? {
        let reply = host.handle_batch(decode(records, &body)?);
        output.write_all(&reply.into_frame())?;
        output.flush()?;
    }
    Ok(())
}

/// The instances that the process hosts.
#[derive(Default)]
struct Host {
    instances: BTreeMap<Instance, HostedInstance>,
    /// The actions of the current event, kept to reuse the allocation.
    actions: Vec<Action>,
}

impl Host {
    fn handle_batch(&mut self, batch: Batch) -> Reply {
        let mut reply = Reply::default();
        for (instance, event) in batch.events {
            match event {
                WireEvent::Start { seed, settings } => {
                    self.start(instance, seed, *settings, batch.clock, &mut reply);
                }
                WireEvent::Stop => {
                    self.instances.remove(&instance);
                }
                WireEvent::Module(event) => self.handle_event(instance, event, batch.clock, &mut reply),
                WireEvent::Gossip(from, datagram) => {
                    if let Some(hosted) = self.instances.get_mut(&instance) {
                        hosted.gossip.handle_datagram(batch.clock, from, &datagram);
                    }
                }
                WireEvent::Ignored => {}
            }
        }
        reply
    }

    fn start(&mut self, instance: Instance, seed: u64, settings: Settings, clock: Micros, reply: &mut Reply) {
        let uses_gossip = settings.may_message_peers && settings.balancers as usize >= gossip::MIN_BALANCERS;
        let mut hosted = HostedInstance::new(seed, settings, clock);
        if uses_gossip {
            reply.push(instance, &hosted.schedule_gossip());
        }
        self.instances.insert(instance, hosted);
    }

    fn handle_event(&mut self, instance: Instance, event: Event, clock: Micros, reply: &mut Reply) {
        let Some(hosted) = self.instances.get_mut(&instance) else { return };
        let event = if event == Event::Timer(GOSSIP_TIMER) {
            reply.push(instance, &hosted.schedule_gossip());
            Event::PublishLoad
        } else {
            event
        };
        hosted.router.handle(clock, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            let Action::PublishLoad(loads) = &action else {
                reply.push(instance, &action);
                continue;
            };
            let publication = hosted.gossip.publish(clock, loads);
            reply.push_gossip(instance, &publication.datagram);
            // This event returns no actions: the factors only change weights.
            hosted.router.handle(clock, Event::WeightFactors(publication.weight_factors), &mut self.actions);
        }
    }
}
