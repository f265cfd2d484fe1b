//! A fake endpoint whose side of each connection is controlled by the test, and attempts at it.
#![allow(dead_code, unreachable_pub, reason = "shared by several test programs, each of which uses a part")]

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
use upstream::connection::{Attempt, AttemptResult, ConnectionPools, ConnectionSource, SendPermit, dial};
use upstream::endpoints::{Endpoint, EndpointSet, endpoint_id};
use upstream::memory::MemoryBudget;
use upstream::setup::{Bounds, Names};

/// A time span longer than any test runs. Tests let it pass by advancing the clock.
pub const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// The response of a cache node that serves the value `v`.
pub const VALUE: &str = "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n";

pub struct FakeEndpoint {
    pub listener: TcpListener,
    pub endpoints: EndpointSet,
    pub endpoint: Rc<Endpoint>,
    pub pools: ConnectionPools,
}

impl FakeEndpoint {
    /// Creates a fake cache node, or a fake origin if the flavor is `origin`.
    pub fn new(flavor: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let names = Names { kinds: vec!["origin".into()], ..Names::default() };
        let mut endpoints = EndpointSet::new(names, Some(0));
        endpoints.apply(&list(&listener, flavor, Phase::Ready), false);
        let endpoint = endpoints.endpoint(endpoint_id("s-1")).unwrap().clone();
        let bounds = Bounds {
            clients: 1,
            peers: 9,
            held_bytes: 0,
            open: 1,
            answer_bytes: 0,
            dial: 10 * LONG_TIMEOUT,
            idle: 10 * LONG_TIMEOUT,
            longest: LONG_TIMEOUT,
            shortest: LONG_TIMEOUT,
        };
        Self { listener, endpoints, endpoint, pools: ConnectionPools::new(bounds) }
    }

    /// Returns an idle connection from the pool, and the endpoint's side of it.
    pub async fn idle_connection(&mut self) -> (ConnectionSource, Option<TcpStream>) {
        let ConnectionSource::Dial(permit) = self.pools.check_out_new(&self.endpoint) else {
            panic!("the pool has no connection left below its limit")
        };
        let connection = dial(permit, &self.endpoint, LONG_TIMEOUT).await;
        self.pools.check_in(&self.endpoint, connection);
        (self.pools.check_out(&self.endpoint), Some(self.listener.accept().unwrap().0))
    }

    pub fn attempt(&self, source: ConnectionSource, value: Option<Bytes>, deadline: Instant) -> Attempt {
        let word = Bytes::from_static(b"1");
        let (command, key, id, options) = (word.clone(), word.clone(), word.clone(), word);
        let call = Rc::new(Call { command, key, id, options, time_limit_range: 0..1, value });
        Attempt {
            endpoint: self.endpoints.endpoint(self.endpoint.id).unwrap().clone(),
            call,
            source,
            connect_timeout: 10 * LONG_TIMEOUT,
            deadline,
            permit: SendPermit { awaited: Rc::new(Cell::new(true)), deduplication_ends: None },
            is_non_idempotent: false,
            throttles: Rc::default(),
            budget: MemoryBudget::new(2 * MAX_BUFFERED_VALUE_BYTES),
            written_count: Rc::default(),
        }
    }
}

/// Returns a list that contains only the endpoint at the listener's address.
pub fn list(listener: &TcpListener, flavor: &str, phase: Phase) -> EndpointList {
    let member = EndpointRecord {
        id: "s-1".into(),
        host_port: listener.local_addr().unwrap(),
        locality: String::new(),
        flavor: flavor.into(),
        cell: 0,
        phase,
        size: 1.0,
        up_since_ms: 0,
    };
    EndpointList { revision: 1, complete: true, members: vec![member] }
}

/// Polls the attempt once. It must not end without its endpoint.
pub async fn poll_until_blocked(run: &mut Pin<&mut impl Future<Output = AttemptResult>>) {
    let pending = poll_fn(|cx| Poll::Ready(run.as_mut().poll(cx).is_pending())).await;
    assert!(pending, "the attempt ended without waiting for the endpoint");
}

/// Advances the clock by `time`, and lets it run on afterwards.
pub async fn advance_paused(time: Duration) {
    pause();
    advance(time).await;
    resume();
}

/// Closes a connection with a TCP reset.
pub fn reset(stream: TcpStream) {
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}
