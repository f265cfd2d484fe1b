//! Tests of the relays: faults are drawn from the seed, cut links are silent, healed links continue.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};
use testfleet::WAIT_TIMEOUT;
use testfleet::relay::faults::{Direction, Faults};
use testfleet::relay::{ConnectionRegistry, TcpLink, UdpRelay};
use testfleet::runtime::Runtime;

fn wait_until(mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "condition not met within {WAIT_TIMEOUT:?}");
        thread::yield_now();
    }
}

#[test]
fn loss_duplication_and_reordering_are_drawn_from_the_seed() {
    let run = |seed| {
        let mut direction = Direction::new(seed);
        direction.set_faults(Faults {
            loss_probability: 0.3,
            duplication_probability: 0.1,
            reordering_probability: 0.2,
            ..Faults::default()
        });
        let forward = |n: u32| direction.forward(n.to_be_bytes().to_vec().into());
        let out: Vec<_> = (0..10_000).flat_map(forward).map(|(_, it)| it).collect();
        (out, direction.counts())
    };
    let (out, counts) = run(7);
    assert_eq!((out.clone(), counts), run(7), "same seed, different datagrams or counters");
    assert_ne!(out, run(8).0);
    assert_eq!((counts.received, counts.lost, counts.sent), (10_000, 3_056, 7_533));
    let reordered = out.windows(2).filter(|pair| pair[0] > pair[1]).count();
    let duplicated = out.windows(2).filter(|pair| pair[0] == pair[1]).count();
    assert!(
        (400..1_600).contains(&reordered) && (400..700).contains(&duplicated),
        "{reordered} reordered, {duplicated} duplicated"
    );
}

#[test]
fn stalled_direction_buffers_and_delay_is_within_bounds() {
    let mut direction = Direction::new(1);
    direction.set_faults(Faults { stalled: true, ..Faults::default() });
    assert!(direction.forward("a".into()).is_empty() && direction.forward("b".into()).is_empty());
    let (delay, jitter) = (Duration::from_millis(20), Duration::from_millis(5));
    let out = direction.set_faults(Faults { delay, jitter, ..Faults::default() });
    assert_eq!(out.iter().map(|it| &it.1[..]).collect::<Vec<_>>(), [b"a", b"b"]);
    assert!(out.iter().all(|it| it.0 >= delay && it.0 <= delay + jitter) && out[0].0 != out[1].0);
}

/// A UDP socket that is registered at the relay as a balancer.
struct BalancerSocket(UdpSocket);

impl BalancerSocket {
    fn register(relay: &UdpRelay, number: usize) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        relay.register(number, socket.local_addr().unwrap());
        Self(socket)
    }
    fn send(&self, text: &str, to: SocketAddr) {
        self.0.send_to(text.as_bytes(), to).unwrap();
    }
    fn receive(&self) -> (String, SocketAddr) {
        let mut buffer = [0; 64];
        let (n, from) = self.0.recv_from(&mut buffer).unwrap();
        (String::from_utf8(buffer[..n].to_vec()).unwrap(), from)
    }
}

#[test]
fn balancers_see_only_relay_addresses_and_cuts_are_directional() {
    let runtime = Runtime::start().unwrap();
    let relay = UdpRelay::start(runtime.handle(), 3, 1).unwrap();
    let balancers = [0, 1, 2].map(|number| BalancerSocket::register(&relay, number));
    let addresses = [0, 1, 2].map(|number| relay.address(number).unwrap());
    balancers[0].send("hello", addresses[1]);
    assert_eq!(balancers[1].receive(), ("hello".into(), addresses[0]));

    relay.update_faults(&[0], &[1], |faults| faults.cut = true);
    balancers[0].send("lost", addresses[1]);
    wait_until(|| relay.counts(0, 1).lost == 1);
    balancers[1].send("back", addresses[0]);
    assert_eq!(balancers[0].receive(), ("back".into(), addresses[1]));

    relay.cut(&[0, 1], &[2]);
    balancers[2].send("lost", addresses[0]);
    balancers[1].send("lost", addresses[2]);
    wait_until(|| relay.counts(2, 0).lost == 1 && relay.counts(1, 2).lost == 1);
    relay.heal();
    balancers[0].send("again", addresses[1]);
    assert_eq!(balancers[1].receive(), ("again".into(), addresses[0]));
    balancers[2].send("again", addresses[0]);
    assert_eq!(balancers[0].receive(), ("again".into(), addresses[2]));
    assert_eq!(relay.counts(0, 1).bytes, 10);

    let unregistered = UdpSocket::bind("127.0.0.1:0").unwrap();
    unregistered.send_to(b"unregistered", addresses[0]).unwrap();
    wait_until(|| relay.unregistered_senders() == 1);
}

#[test]
fn restarted_balancer_is_reached_at_its_new_address() {
    let runtime = Runtime::start().unwrap();
    let relay = UdpRelay::start(runtime.handle(), 2, 1).unwrap();
    let (sender, old) = (BalancerSocket::register(&relay, 0), BalancerSocket::register(&relay, 1));
    let new = BalancerSocket::register(&relay, 1);
    sender.send("hello", relay.address(1).unwrap());
    assert_eq!(new.receive().0, "hello");
    old.send("outdated", relay.address(0).unwrap());
    wait_until(|| relay.unregistered_senders() == 1);
}

/// Starts a link to a new listener, registered for balancer 5.
fn start_link(runtime: &Runtime) -> (TcpLink, TcpListener, ConnectionRegistry) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let registry = ConnectionRegistry::default();
    let registered = Some((registry.clone(), 5));
    (
        TcpLink::start(runtime.handle(), listener.local_addr().unwrap(), registered, 1).unwrap(),
        listener,
        registry,
    )
}

fn connect(link: &TcpLink) -> TcpStream {
    let stream = TcpStream::connect(link.addr()).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

fn read_text(stream: &mut TcpStream, n: usize) -> String {
    let mut bytes = vec![0; n];
    stream.read_exact(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn cut_stream_is_silent_both_ways_and_continues_after_heal() {
    let runtime = Runtime::start().unwrap();
    let (link, listener, registry) = start_link(&runtime);
    let mut client = connect(&link);
    let (mut target, from) = listener.accept().unwrap();
    target.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    assert_eq!(registry.find(from).unwrap().balancer, 5);
    client.write_all(b"one").unwrap();
    assert_eq!(read_text(&mut target, 3), "one");
    let before = registry.find(from).unwrap().last_write();
    link.cut();
    client.write_all(b"two").unwrap();
    wait_until(|| registry.find(from).unwrap().last_write() > before);
    target.set_nonblocking(true).unwrap();
    assert_eq!(target.peek(&mut [0]).unwrap_err().kind(), ErrorKind::WouldBlock);
    assert_eq!(link.bytes(), (3, 0));
    link.heal();
    target.set_nonblocking(false).unwrap();
    assert_eq!(read_text(&mut target, 3), "two");
    target.write_all(b"three").unwrap();
    assert_eq!(read_text(&mut client, 5), "three");
}

#[test]
fn data_of_disconnected_client_in_a_stall_never_arrives() {
    let runtime = Runtime::start().unwrap();
    let (link, listener, registry) = start_link(&runtime);
    let mut client = connect(&link);
    let (mut target, from) = listener.accept().unwrap();
    target.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let before = registry.find(from).unwrap().last_write();
    link.set_faults(Faults { stalled: true, ..Faults::default() }, Faults::default());
    client.write_all(b"late").unwrap();
    wait_until(|| registry.find(from).is_none_or(|it| it.last_write() > before));
    drop(client);
    wait_until(|| registry.find(from).is_none());
    link.heal();
    let mut received = Vec::new();
    let ended = target.read_to_end(&mut received);
    assert!(received.is_empty() && ended.map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |_| true));
}

#[test]
fn connections_are_refused_until_heal_and_reset_ends_open_ones() {
    let runtime = Runtime::start().unwrap();
    let (link, listener, _) = start_link(&runtime);
    let mut client = connect(&link);
    let _far = listener.accept().unwrap();
    link.refuse();
    wait_until(
        || matches!(TcpStream::connect(link.addr()), Err(e) if e.kind() == ErrorKind::ConnectionRefused),
    );
    link.heal();
    wait_until(|| TcpStream::connect(link.addr()).is_ok());
    link.reset();
    assert_eq!(client.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
}
