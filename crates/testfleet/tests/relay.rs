//! The relays: losses are drawn from the seed, cut links are silent, healed links continue.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};
use testfleet::PATIENCE;
use testfleet::relay::faults::{Direction, Faults};
use testfleet::relay::{Callers, TcpLink, UdpRelay};
use testfleet::runtime::Runtime;

fn until(mut so: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !so() {
        assert!(Instant::now() < end, "not so within {PATIENCE:?}");
        thread::yield_now();
    }
}

#[test]
fn loss_duplication_and_reordering_are_drawn_from_the_seed() {
    let run = |seed| {
        let mut direction = Direction::new(seed);
        direction.set_faults(Faults { lost: 0.3, doubled: 0.1, reordered: 0.2, ..Faults::default() });
        let took = |n: u32| direction.forward(n.to_be_bytes().to_vec().into());
        let out: Vec<_> = (0..10_000).flat_map(took).map(|(_, it)| it).collect();
        (out, direction.counts())
    };
    let (out, counts) = run(7);
    assert_eq!((out.clone(), counts), run(7), "the same again");
    assert_ne!(out, run(8).0);
    assert_eq!((counts.received, counts.lost, counts.sent), (10_000, 3_056, 7_533));
    let behind = out.windows(2).filter(|pair| pair[0] > pair[1]).count();
    let twice = out.windows(2).filter(|pair| pair[0] == pair[1]).count();
    assert!((400..1_600).contains(&behind) && (400..700).contains(&twice), "{behind} {twice}");
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

/// A socket registered as a balancer.
struct End(UdpSocket);

impl End {
    fn register(relay: &UdpRelay, number: usize) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(PATIENCE)).unwrap();
        relay.register(number, socket.local_addr().unwrap());
        Self(socket)
    }
    fn send(&self, text: &str, to: SocketAddr) {
        self.0.send_to(text.as_bytes(), to).unwrap();
    }
    fn next(&self) -> (String, SocketAddr) {
        let mut buffer = [0; 64];
        let (n, from) = self.0.recv_from(&mut buffer).unwrap();
        (String::from_utf8(buffer[..n].to_vec()).unwrap(), from)
    }
}

#[test]
fn balancers_see_only_relay_addresses_and_cuts_are_directional() {
    let runtime = Runtime::start().unwrap();
    let relay = UdpRelay::start(runtime.handle(), 3, 1).unwrap();
    let ends = [0, 1, 2].map(|number| End::register(&relay, number));
    let at = [0, 1, 2].map(|number| relay.address(number).unwrap());
    ends[0].send("hello", at[1]);
    assert_eq!(ends[1].next(), ("hello".into(), at[0]));

    relay.update_faults(&[0], &[1], |faults| faults.cut = true);
    ends[0].send("unheard", at[1]);
    until(|| relay.counts(0, 1).lost == 1);
    ends[1].send("back", at[0]);
    assert_eq!(ends[0].next(), ("back".into(), at[1]));

    relay.cut(&[0, 1], &[2]);
    ends[2].send("unheard", at[0]);
    ends[1].send("unheard", at[2]);
    until(|| relay.counts(2, 0).lost == 1 && relay.counts(1, 2).lost == 1);
    relay.heal();
    ends[0].send("again", at[1]);
    assert_eq!(ends[1].next(), ("again".into(), at[0]));
    ends[2].send("again", at[0]);
    assert_eq!(ends[0].next(), ("again".into(), at[2]));
    assert_eq!(relay.counts(0, 1).bytes, 10);

    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(b"who?", at[0]).unwrap();
    until(|| relay.unregistered_senders() == 1);
}

#[test]
fn restarted_balancer_is_reached_at_its_new_address() {
    let runtime = Runtime::start().unwrap();
    let relay = UdpRelay::start(runtime.handle(), 2, 1).unwrap();
    let (one, old) = (End::register(&relay, 0), End::register(&relay, 1));
    let new = End::register(&relay, 1);
    one.send("hello", relay.address(1).unwrap());
    assert_eq!(new.next().0, "hello");
    old.send("ghost", relay.address(0).unwrap());
    until(|| relay.unregistered_senders() == 1);
}

/// Starts a link to a new listener.
fn link(runtime: &Runtime) -> (TcpLink, TcpListener, Callers) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let callers = Callers::default();
    let known = Some((callers.clone(), 5));
    (TcpLink::start(runtime.handle(), listener.local_addr().unwrap(), known, 1).unwrap(), listener, callers)
}

fn connect(link: &TcpLink) -> TcpStream {
    let stream = TcpStream::connect(link.addr()).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn read(stream: &mut TcpStream, n: usize) -> String {
    let mut bytes = vec![0; n];
    stream.read_exact(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap()
}

#[test]
fn cut_stream_is_silent_both_ways_and_continues_after_heal() {
    let runtime = Runtime::start().unwrap();
    let (link, listener, callers) = link(&runtime);
    let mut near = connect(&link);
    let (mut far, from) = listener.accept().unwrap();
    far.set_read_timeout(Some(PATIENCE)).unwrap();
    assert_eq!(callers.find(from).unwrap().balancer, 5);
    near.write_all(b"one").unwrap();
    assert_eq!(read(&mut far, 3), "one");
    let before = callers.find(from).unwrap().last_write();
    link.cut();
    near.write_all(b"two").unwrap();
    until(|| callers.find(from).unwrap().last_write() > before);
    far.set_nonblocking(true).unwrap();
    assert_eq!(far.peek(&mut [0]).unwrap_err().kind(), ErrorKind::WouldBlock);
    assert_eq!(link.bytes(), (3, 0));
    link.heal();
    far.set_nonblocking(false).unwrap();
    assert_eq!(read(&mut far, 3), "two");
    far.write_all(b"three").unwrap();
    assert_eq!(read(&mut near, 5), "three");
}

#[test]
fn data_of_disconnected_client_in_a_stall_never_arrives() {
    let runtime = Runtime::start().unwrap();
    let (link, listener, callers) = link(&runtime);
    let mut near = connect(&link);
    let (mut far, from) = listener.accept().unwrap();
    far.set_read_timeout(Some(PATIENCE)).unwrap();
    let before = callers.find(from).unwrap().last_write();
    link.set_faults(Faults { stalled: true, ..Faults::default() }, Faults::default());
    near.write_all(b"late").unwrap();
    until(|| callers.find(from).is_none_or(|it| it.last_write() > before));
    drop(near);
    until(|| callers.find(from).is_none());
    link.heal();
    let mut all = Vec::new();
    let ended = far.read_to_end(&mut all);
    assert!(all.is_empty() && ended.map_or_else(|e| e.kind() == ErrorKind::ConnectionReset, |_| true));
}

#[test]
fn connections_are_refused_until_heal_and_reset_ends_open_ones() {
    let runtime = Runtime::start().unwrap();
    let (link, listener, _) = link(&runtime);
    let mut near = connect(&link);
    let _far = listener.accept().unwrap();
    link.refuse();
    until(|| matches!(TcpStream::connect(link.addr()), Err(e) if e.kind() == ErrorKind::ConnectionRefused));
    link.heal();
    until(|| TcpStream::connect(link.addr()).is_ok());
    link.reset();
    assert_eq!(near.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
}
