//! A peer of which a test is the far end, and tries at it.

use bytes::Bytes;
use proto::MAX_BUFFERED_VALUE_BYTES;
use proto::discovery::{EndpointList, EndpointRecord, Phase};
use socket2::SockRef;
use std::cell::Cell;
use std::future::{Future, poll_fn};
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::{Instant, advance, pause, resume};
use upstream::call::Call;
use upstream::connection::{Attempt, AttemptResult, ConnectionChoice, ConnectionPools, Permit, dial};
use upstream::endpoints::{Endpoint, EndpointSet, endpoint_id};
use upstream::memory::MemoryBudget;
use upstream::setup::{Bounds, Names};

/// Longer than any test runs; most of its spans pass on a clock that is moved.
pub const SPAN: Duration = Duration::from_secs(20);
pub const VALUE: &str = "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";

/// A peer of which the test is the far end.
pub struct Host {
    pub listener: TcpListener,
    pub group: EndpointSet,
    pub peer: Rc<Endpoint>,
    pub pools: ConnectionPools,
}

impl Host {
    pub fn new(flavor: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let names = Names { kinds: vec!["origin".into()], ..Names::default() };
        let mut host = EndpointSet::new(names, Some(0));
        host.apply(&list(&listener, flavor, Phase::Ready), false);
        let peer = host.endpoint(endpoint_id("s-1")).unwrap().clone();
        let (dial, idle, longest) = (10 * SPAN, 10 * SPAN, SPAN);
        let bounds = Bounds {
            clients: 1,
            peers: 9,
            held_bytes: 0,
            open: 1,
            answer_bytes: 0,
            dial,
            idle,
            longest,
            shortest: longest,
        };
        Self { listener, group: host, peer, pools: ConnectionPools::new(bounds) }
    }
    /// A connection that was idle, and its far end.
    pub async fn idle(&mut self) -> (ConnectionChoice, Option<TcpStream>) {
        let ConnectionChoice::Dial(place) = self.pools.dial(&self.peer) else { panic!("there is a place") };
        let connection = dial(place, &self.peer, SPAN).await;
        self.pools.put(&self.peer, connection);
        (self.pools.line(&self.peer), Some(self.listener.accept().unwrap().0))
    }
    pub fn make_try(&self, line: ConnectionChoice, value: Option<Bytes>, until: Instant) -> Attempt {
        let word = Bytes::from_static(b"1");
        let (command, key, id, options) = (word.clone(), word.clone(), word.clone(), word);
        let call = Rc::new(Call { command, key, id, options, time_at: 0..1, value });
        let permit = Permit { owed: Rc::new(Cell::new(true)), by: None };
        let (lines, written) = Default::default();
        Attempt {
            peer: self.group.endpoint(self.peer.id).unwrap().clone(),
            call,
            line,
            dial: 10 * SPAN,
            until,
            permit,
            fragile: false,
            lines,
            budget: MemoryBudget::new(2 * MAX_BUFFERED_VALUE_BYTES),
            written,
        }
    }
}

pub fn list(listener: &TcpListener, flavor: &str, phase: Phase) -> EndpointList {
    let (id, locality) = ("s-1".into(), String::new());
    let (host_port, flavor) = (listener.local_addr().unwrap(), flavor.into());
    let member =
        EndpointRecord { id, host_port, locality, flavor, cell: 0, phase, size: 1.0, up_since_ms: 0 };
    EndpointList { revision: 1, complete: true, members: vec![member] }
}

/// Lets it come as far as it can without the far end.
pub async fn begin(run: &mut Pin<&mut impl Future<Output = AttemptResult>>) {
    let pending = poll_fn(|cx| Poll::Ready(run.as_mut().poll(cx).is_pending())).await;
    assert!(pending, "it waits for the far end");
}

pub async fn pass(time: Duration) {
    pause();
    advance(time).await;
    resume();
}

pub fn reset(far: TcpStream) {
    SockRef::from(&far).set_linger(Some(Duration::ZERO)).unwrap();
}
