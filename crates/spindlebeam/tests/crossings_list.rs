//! Endpoint lists and the whole program: discovery that returns while clients hold the descriptors, and many starts at
//! once.

mod platform;

use discovery::pace::RETRY_INTERVAL;
use platform::*;
use rstest::rstest;
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// How discovery answers calls.
#[derive(Debug, Clone, PartialEq)]
enum Does {
    /// Its port is bound, but nothing listens.
    Refuses,
    /// Connections are established, but never answered.
    Silent,
    /// Every call is answered with 503.
    Busy,
    /// Polls are answered with this list; a watch gets it as its first line.
    SendsList(Value),
}

/// A discovery service whose behaviour can change.
struct DiscoveryService {
    addr: SocketAddr,
    socket: Socket,
}

impl DiscoveryService {
    fn start(does: Does) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        let addr = socket.local_addr().unwrap().as_socket().unwrap();
        let service = Self { addr, socket };
        service.switch_to(does);
        service
    }

    /// Changes the behaviour; the receiver gets the time of each answered call.
    fn switch_to(&self, does: Does) -> Receiver<Instant> {
        let (sender, calls) = channel();
        if does == Does::Refuses {
            return calls;
        }
        self.socket.listen(1024).unwrap();
        if does == Does::Silent {
            return calls;
        }
        let listener = TcpListener::from(self.socket.try_clone().unwrap());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (does, sender) = (does.clone(), sender.clone());
                thread::spawn(move || {
                    if let Some(stream) = answer_call(stream, &does) {
                        let _ = sender.send(Instant::now());
                        let _ = BufReader::new(stream).read_line(&mut String::new()); // until the balancer closes it
                    }
                });
            }
        });
        calls
    }
}

/// Reads a call and answers it; returns the stream unless the connection ended before.
fn answer_call(mut stream: TcpStream, does: &Does) -> Option<TcpStream> {
    let mut line = String::new();
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    while reader.read_line(&mut String::new()).ok()? > 2 {} // skips the rest of the head
    let list = match does {
        Does::SendsList(list) => list.to_string(),
        _ => {
            stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").ok()?;
            return Some(stream);
        }
    };
    if line.contains("watch") {
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1).ok()?;
    } else {
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).ok()?;
    }
    Some(stream)
}

/// How clients occupy the descriptors.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Clients {
    /// They were answered and are idle.
    Rest,
    /// They wait for a silent cache node; those without a connection slot stay in the backlog.
    Wait,
    /// They wait as in [`Clients::Wait`] and exhaust the descriptors, since the configuration allows more than the
    /// system.
    TakeAll,
}

/// Maximum delay until discovery is called again after a failed call (see `discovery::pace`); a call that is still open
/// is repeated at once.
fn max_retry_delay(way: &str) -> Duration {
    if way == "push" { RETRY_INTERVAL } else { Duration::from_millis(750) }
}

/// Allowance for other load on the machine.
const LOAD_ALLOWANCE: Duration = Duration::from_millis(1_000);

/// Clients occupy all connection slots while discovery is down. When it returns, it is called at once, its list is
/// applied, and a cache node in the list is connected to and serves.
#[rstest]
fn idle_clients_leave_room_for_discovery_and_for_hosts(
    #[values(Does::Refuses, Does::Silent)] down: Does, #[values("push", "ask")] way: &str,
    #[values(Clients::Rest, Clients::Wait, Clients::TakeAll)] how: Clients,
) {
    const LIMIT: usize = 128;
    let (cache_node, new_peer, origin) = (Peer::start(false), Peer::start(false), Peer::start(true));
    let listed = |revision, id: &str, peer: &Peer| {
        list(revision, true, &[member("origin", origin.addr, "ready"), member(id, peer.addr, "ready")])
    };
    let service = DiscoveryService::start(down.clone());
    let configured_sockets = if how == Clients::TakeAll { 8 * LIMIT } else { LIMIT };
    let mut config = config(service.addr, configured_sockets as u64, listed(1, "s-0", &cache_node));
    config["settings"]["discovery"] = way.into();
    config["operator"] = "127.0.0.1:0".into();
    let balancer = Balancer::start(&config, LIMIT as u32);
    balancer.wait_for_log("ready");
    // Connections to the admin endpoint take descriptors, too.
    let admin_addr = balancer.admin_addr.unwrap();
    let _callers: Vec<_> = (0..16).map(|_| TcpStream::connect(admin_addr).unwrap()).collect();
    let open_descriptors =
        || std::fs::read_dir(format!("/proc/{}/fd", balancer.process_id())).unwrap().count();
    let mut clients: Vec<Client> = Vec::new();
    for number in 0..2 * LIMIT {
        let mut client = balancer.client();
        match how {
            Clients::Rest => {
                client.send(&["PING"]);
                assert_eq!(client.read_answer(), "+PONG");
            }
            Clients::Wait | Clients::TakeAll => client.get("leer", &format!("{number:x}")),
        }
        clients.push(client);
    }
    if how == Clients::TakeAll {
        balancer.wait_for_log("front: accept failed: ");
    } else {
        // Each waiting client also holds a connection to a cache node; idle clients keep only the slots that reuse
        // justifies.
        wait_until(|| how == Clients::Rest || open_descriptors() > LIMIT * 3 / 4);
        let most_open = (0..1_000).map(|_| open_descriptors()).max().unwrap();
        assert!(most_open < LIMIT, "{most_open} of {LIMIT} descriptors are open");
    }

    let switched = Instant::now();
    let calls = service.switch_to(Does::SendsList(listed(2, "s-1", &new_peer)));
    calls.recv_timeout(WAIT_TIMEOUT).expect("discovery was not called in time");
    balancer.wait_for_log("s-1 is Ready");
    let elapsed = switched.elapsed();
    assert!(elapsed < max_retry_delay(way) + LOAD_ALLOWANCE, "applied after {elapsed:?}");
    if how == Clients::TakeAll {
        return; // a connection to a cache node is possible only if the configured limit is right
    }
    let mut last = if how == Clients::Rest { clients.pop().unwrap() } else { balancer.client() };
    if how != Clients::Rest {
        drop(clients); // some disconnect before they are accepted; these are read first
    }
    thread::spawn(move || {
        loop {
            new_peer.next_request().write_part("*3\r\n$1\r\nx\r\n$3\r\nhit\r\n$-1\r\n");
        }
    });
    wait_until(|| {
        last.get("leer", "7f");
        let answer = last.read_answer();
        assert!(answer == "x" || answer.starts_with("-BUSY"), "{answer}");
        answer == "x"
    });
}

/// After SIGHUP the old list is used until the new discovery agent answers. Its list is then applied at once, also if
/// the old agent has meanwhile reported a drain that the new list does not contain.
#[rstest]
fn list_is_kept_until_new_discovery_agent_answers(
    #[values("push", "ask")] way: &str, #[values(true, false)] old_drains: bool,
) {
    let (cache_node, new_peer, origin) = (Peer::start(false), Peer::start(false), Peer::start(true));
    let listed = [
        member("origin", origin.addr, "ready"),
        member("s-0", cache_node.addr, "ready"),
        member("s-1", new_peer.addr, "ready"),
    ];
    let (old, new) = (Discovery::start(Value::Null), DiscoveryService::start(Does::Silent));
    let mut config = config(old.addr, 1024, list(3, true, &listed[..2]));
    config["settings"]["discovery"] = way.into();
    let balancer = Balancer::start(&config, 1024);
    let mut watch = old.next_watch();
    balancer.wait_for_log("ready");
    config["discovery"] = new.addr.to_string().into();
    balancer.reload(&config.to_string());
    balancer.wait_for_log("discovery is now at");
    let mut client = balancer.client();
    client.get("leer", "7f");
    cache_node.next_request().respond_value("held");
    assert_eq!(client.read_answer(), "held");
    if old_drains {
        push(&mut watch, &list(4, false, &[member("s-0", cache_node.addr, "draining")]).to_string());
        balancer.wait_for_log("s-0 is Draining");
    }
    let switched = Instant::now();
    let _asked = new.switch_to(Does::SendsList(list(2, true, &listed)));
    balancer.wait_for_log("s-1 is Ready");
    let elapsed = switched.elapsed();
    assert!(elapsed < max_retry_delay(way) + LOAD_ALLOWANCE, "applied after {elapsed:?}");
    let peers = [cache_node, new_peer];
    let mut requests = [0; 2];
    for key in 0..32 {
        client.get("leer", &format!("{key:x}"));
        let (at, request) = next_request_of_any(&peers);
        requests[at] += 1;
        request.respond_value("x");
        assert_eq!(client.read_answer(), "x");
    }
    assert_eq!(requests[0] == 0, old_drains, "{requests:?}");
}

/// Reading the new configuration file blocks: clients are served meanwhile, and the file is applied once it is read.
#[test]
fn reload_from_stalled_disk_does_not_block_clients() {
    let (origin, old, new) =
        (Peer::start(true), Discovery::start(Value::Null), DiscoveryService::start(Does::Silent));
    let mut config = config(old.addr, 1024, list(1, true, &[member("origin", origin.addr, "ready")]));
    let balancer = Balancer::start(&config, 1024);
    balancer.wait_for_log("ready");
    let file = balancer.reload_from_stalled_file();
    let mut disk = std::fs::OpenOptions::new().write(true).open(file).unwrap(); // once the program opens it
    let mut client = balancer.client();
    client.send(&["PING"]);
    assert_eq!(client.read_answer(), "+PONG");
    config["discovery"] = new.addr.to_string().into();
    disk.write_all(config.to_string().as_bytes()).unwrap();
    drop(disk);
    balancer.wait_for_log("discovery is now at");
}

/// Of many processes, 90 % are ready within 10 s and all within 30 s, however discovery behaves: at a first start, and
/// when all are ended by SIGTERM at once and replaced.
#[rstest]
#[case::up(None)]
#[case::silent(Some(Does::Silent))]
#[case::busy(Some(Does::Busy))]
#[case::refusing(Some(Does::Refuses))]
fn many_processes_starting_at_once_are_ready_in_time(
    #[case] does: Option<Does>, #[values("push", "ask")] way: &str,
) {
    const PROCESSES: usize = 20;
    let (cache_node, origin) = (Peer::start(false), Peer::start(true));
    let known =
        list(1, true, &[member("origin", origin.addr, "ready"), member("s-0", cache_node.addr, "ready")]);
    let service = DiscoveryService::start(does.unwrap_or(Does::SendsList(known.clone())));
    let mut config = config(service.addr, 1024, known);
    config["settings"]["discovery"] = way.into();
    let started = Instant::now();
    let first: Vec<_> = (0..PROCESSES)
        .map(|_| {
            let config = config.clone();
            thread::spawn(move || {
                let env = ProcessEnv::with_socket();
                let balancer = Balancer::start_in(&env, &config);
                (time_until_served(&env, &balancer, started), env, balancer)
            })
        })
        .collect();
    let first: Vec<_> =
        first.into_iter().map(|thread| thread.join().expect("a process was not ready in time")).collect();
    let terminated = Instant::now();
    first.iter().for_each(|(_, _, balancer)| balancer.terminate());
    let (mut first_times, mut restart_times) = (Vec::new(), Vec::new());
    let second: Vec<_> = first
        .into_iter()
        .map(|(took, env, before)| {
            first_times.push(took);
            let config = config.clone();
            thread::spawn(move || {
                let balancer = Balancer::start_in(&env, &config);
                balancer.wait_for_log("ready");
                drop(before); // ends the old process, which would also answer
                time_until_served(&env, &balancer, terminated)
            })
        })
        .collect();
    restart_times
        .extend(second.into_iter().map(|thread| thread.join().expect("a replacement was not ready in time")));
    for mut took in [first_times, restart_times] {
        took.sort();
        assert!(took[PROCESSES * 9 / 10 - 1] < Duration::from_secs(10), "{took:?}");
        assert!(took[PROCESSES - 1] < Duration::from_secs(30), "{took:?}");
    }
}

/// Waits until the process serves; returns the time since `since`.
fn time_until_served(env: &ProcessEnv, balancer: &Balancer, since: Instant) -> Duration {
    balancer.wait_for_log("accepting from the inherited socket");
    let mut client = env.client();
    client.send(&["PING"]);
    assert_eq!(client.read_answer(), "+PONG");
    since.elapsed()
}
