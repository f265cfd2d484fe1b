//! Runs many instances of the module on the thistle-28dc wire, from standard input to standard output.

use decide::api::{Action, Event, Token};
use decide::policy::Router;
use gossip::GossipState;
use simulator_adapter::{Instance, Reply, WireError, WireEvent, decode, read_frame};
use std::collections::BTreeMap;
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

/// The timer of an instance's next word to the others; those of the module bear other names.
const SPEAK: Token = Token(u64::MAX - 1);

/// An instance: its decisions, and what it has heard from others.
struct Hosted {
    router: Router,
    hearsay: GossipState,
    rng: fastrand::Rng,
}

impl Hosted {
    fn later(&mut self) -> Action {
        Action::Timer { delay_us: self.hearsay.pause(self.rng.f64()), token: SPEAK }
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
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut instances: BTreeMap<Instance, Hosted> = BTreeMap::new();
    let mut actions = Vec::new();
    while let Some((records, body)) = read_frame(&mut input)? {
        let batch = decode(records, &body)?;
        let mut reply = Reply::default();
        for (instance, event) in batch.events {
            match event {
                WireEvent::Start { seed, settings } => {
                    let speaks = settings.peers && settings.balancers as usize >= gossip::ENOUGH;
                    let hearsay = GossipState::new(
                        settings.instance as usize,
                        settings.balancers as usize,
                        batch.clock,
                    );
                    let router = Router::new(*settings, seed, batch.clock);
                    let mut it = Hosted { router, hearsay, rng: fastrand::Rng::with_seed(!seed) };
                    if speaks {
                        reply.push(instance, &it.later());
                    }
                    instances.insert(instance, it);
                }
                WireEvent::Stop => {
                    instances.remove(&instance);
                }
                WireEvent::Module(event) => {
                    let Some(it) = instances.get_mut(&instance) else { continue };
                    let event = if event == Event::Timer(SPEAK) {
                        reply.push(instance, &it.later());
                        Event::PublishLoad
                    } else {
                        event
                    };
                    it.router.handle(batch.clock, event, &mut actions);
                    for action in std::mem::take(&mut actions) {
                        let Action::PublishLoad(loads) = &action else {
                            reply.push(instance, &action);
                            continue;
                        };
                        let turn = it.hearsay.turn(batch.clock, loads);
                        reply.say(instance, &turn.datagram);
                        // It yields no actions: what is heard only moves weights.
                        it.router.handle(batch.clock, Event::WeightFactors(turn.parts), &mut actions);
                    }
                }
                WireEvent::Said(from, message) => {
                    if let Some(it) = instances.get_mut(&instance) {
                        it.hearsay.hear(batch.clock, from, &message);
                    }
                }
                WireEvent::Unused => {}
            }
        }
        output.write_all(&reply.into_frame())?;
        output.flush()?;
    }
    Ok(())
}
