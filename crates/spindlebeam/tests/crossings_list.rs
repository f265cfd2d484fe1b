//! The list of hosts against the whole program: descriptors that clients hold as discovery returns, and many starts at once.

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

/// What discovery does with calls.
#[derive(Debug, Clone, PartialEq)]
enum Does {
    /// Its port is held, but nobody listens.
    Refuses,
    /// Connections come up, and nothing is said.
    Silent,
    /// 503.
    Busy,
    /// Tells this list, whole or as the first line of a watch.
    Tells(Value),
}

struct Service {
    addr: SocketAddr,
    socket: Socket,
}

impl Service {
    fn start(does: Does) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        let addr = socket.local_addr().unwrap().as_socket().unwrap();
        let it = Self { addr, socket };
        it.turns_to(does);
        it
    }

    /// Does this from now on, and tells of each call.
    fn turns_to(&self, does: Does) -> Receiver<Instant> {
        let (sender, asked) = channel();
        if does == Does::Refuses {
            return asked;
        }
        self.socket.listen(1024).unwrap();
        if does == Does::Silent {
            return asked;
        }
        let listener = TcpListener::from(self.socket.try_clone().unwrap());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (does, sender) = (does.clone(), sender.clone());
                thread::spawn(move || {
                    if let Some(stream) = answered(stream, &does) {
                        let _ = sender.send(Instant::now());
                        let _ = BufReader::new(stream).read_line(&mut String::new()); // open until the balancer ends it
                    }
                });
            }
        });
        asked
    }
}

fn answered(mut stream: TcpStream, does: &Does) -> Option<TcpStream> {
    let mut line = String::new();
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    while reader.read_line(&mut String::new()).ok()? > 2 {} // the rest of the head
    let list = match does {
        Does::Tells(list) => list.to_string(),
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

/// How clients take the descriptors.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Clients {
    /// They were answered, and rest.
    Rest,
    /// They wait for a host that says nothing; those beyond the places stay in the backlog.
    Wait,
    /// The same, and they take all that there are: the program was told of more than the system grants.
    TakeAll,
}

/// How soon discovery is asked behind a call that came to nothing (`discovery::pace`): the longest pause, or for a call that is out
/// still, at once.
fn asked_again(way: &str) -> Duration {
    if way == "push" { RETRY_INTERVAL } else { Duration::from_millis(750) }
}

/// For a machine that has other work as well.
const SLACK: Duration = Duration::from_millis(1_000);

/// Clients come until no more are taken; discovery returns: it is asked at once, and what it has is told; a host that it lists is
/// dialled and serves.
#[rstest]
fn idle_clients_leave_room_for_discovery_and_for_hosts(
    #[values(Does::Refuses, Does::Silent)] down: Does, #[values("push", "ask")] way: &str,
    #[values(Clients::Rest, Clients::Wait, Clients::TakeAll)] how: Clients,
) {
    const LIMIT: usize = 128;
    let (host, fresh, origin) = (Peer::start(false), Peer::start(false), Peer::start(true));
    let listed = |revision, id: &str, peer: &Peer| {
        list(revision, true, &[member("origin", origin.addr, "ready"), member(id, peer.addr, "ready")])
    };
    let service = Service::start(down.clone());
    let told = if how == Clients::TakeAll { 8 * LIMIT } else { LIMIT };
    let mut config = config(service.addr, told as u64, listed(1, "s-0", &host));
    config["settings"]["discovery"] = way.into();
    config["operator"] = "127.0.0.1:0".into();
    let balancer = Balancer::start(&config, LIMIT as u32);
    balancer.logged("ready");
    // The door's callers take theirs as well.
    let door = balancer.door.unwrap();
    let _callers: Vec<_> = (0..16).map(|_| TcpStream::connect(door).unwrap()).collect();
    let open = || std::fs::read_dir(format!("/proc/{}/fd", balancer.process())).unwrap().count();
    let mut clients: Vec<Client> = Vec::new();
    for nth in 0..2 * LIMIT {
        let mut client = balancer.client();
        match how {
            Clients::Rest => {
                client.send(&["PING"]);
                assert_eq!(client.answer(), "+PONG");
            }
            Clients::Wait | Clients::TakeAll => client.get("leer", &format!("{nth:x}")),
        }
        clients.push(client);
    }
    if how == Clients::TakeAll {
        balancer.logged("front: accept failed: ");
    } else {
        // Each that waits holds a connection to a host as well; those that rest keep the places that reuse pays for.
        wait_until(|| how == Clients::Rest || open() > LIMIT * 3 / 4);
        let most = (0..1_000).map(|_| open()).max().unwrap();
        assert!(most < LIMIT, "{most} descriptors");
    }

    let back = Instant::now();
    let asked = service.turns_to(Does::Tells(listed(2, "s-1", &fresh)));
    asked.recv_timeout(PATIENCE).expect("discovery is asked");
    balancer.logged("s-1 is Ready");
    let heard = back.elapsed();
    assert!(heard < asked_again(way) + SLACK, "{heard:?}");
    if how == Clients::TakeAll {
        return; // a host is dialled where the program was told the truth
    }
    let mut last = if how == Clients::Rest { clients.pop().unwrap() } else { balancer.client() };
    if how != Clients::Rest {
        drop(clients); // some have asked and gone before they were accepted: these are read first
    }
    thread::spawn(move || {
        loop {
            fresh.asked().part("*3\r\n$1\r\nx\r\n$3\r\nhit\r\n$-1\r\n");
        }
    });
    wait_until(|| {
        last.get("leer", "7f");
        let answer = last.answer();
        assert!(answer == "x" || answer.starts_with("-BUSY"), "{answer}");
        answer == "x"
    });
}

/// SIGHUP, and neither the old agent nor the new one says anything: the list is held. Then the new one speaks, and is heard at
/// once, also where the old one has told of a drain meanwhile that the new one's list does not know of.
#[rstest]
fn a_move_between_silent_agents_holds_the_list_until_the_new_one_speaks(
    #[values("push", "ask")] way: &str, #[values(true, false)] old_drains: bool,
) {
    let (host, fresh, origin) = (Peer::start(false), Peer::start(false), Peer::start(true));
    let listed = [
        member("origin", origin.addr, "ready"),
        member("s-0", host.addr, "ready"),
        member("s-1", fresh.addr, "ready"),
    ];
    let (old, new) = (Discovery::start(Value::Null), Service::start(Does::Silent));
    let mut config = config(old.addr, 1024, list(3, true, &listed[..2]));
    config["settings"]["discovery"] = way.into();
    let balancer = Balancer::start(&config, 1024);
    let mut watch = old.watch();
    balancer.logged("ready");
    config["discovery"] = new.addr.to_string().into();
    balancer.reload(&config.to_string());
    balancer.logged("discovery is now at");
    let mut client = balancer.client();
    client.get("leer", "7f");
    host.asked().value("held");
    assert_eq!(client.answer(), "held");
    if old_drains {
        push(&mut watch, &list(4, false, &[member("s-0", host.addr, "draining")]).to_string());
        balancer.logged("s-0 is Draining");
    }
    let back = Instant::now();
    let _asked = new.turns_to(Does::Tells(list(2, true, &listed)));
    balancer.logged("s-1 is Ready");
    let heard = back.elapsed();
    assert!(heard < asked_again(way) + SLACK, "{heard:?}");
    let peers = [host, fresh];
    let mut asked = [0; 2];
    for key in 0..32 {
        client.get("leer", &format!("{key:x}"));
        let (at, request) = next_asked(&peers);
        asked[at] += 1;
        request.value("x");
        assert_eq!(client.answer(), "x");
    }
    assert_eq!(asked[0] == 0, old_drains, "{asked:?}");
}

/// SIGHUP while the disk with the new file stands still: clients are served meanwhile, and the file counts as soon as it moves.
#[test]
fn a_configuration_on_a_disk_that_stands_still_holds_up_no_client() {
    let (origin, old, new) = (Peer::start(true), Discovery::start(Value::Null), Service::start(Does::Silent));
    let mut config = config(old.addr, 1024, list(1, true, &[member("origin", origin.addr, "ready")]));
    let balancer = Balancer::start(&config, 1024);
    balancer.logged("ready");
    let file = balancer.reload_on_a_still_disk();
    let mut disk = std::fs::OpenOptions::new().write(true).open(file).unwrap(); // the program is reading now
    let mut client = balancer.client();
    client.send(&["PING"]);
    assert_eq!(client.answer(), "+PONG");
    config["discovery"] = new.addr.to_string().into();
    disk.write_all(config.to_string().as_bytes()).unwrap();
    drop(disk);
    balancer.logged("discovery is now at");
}

/// Nine in ten are ready within 10 s, and none takes over 30 s, whatever discovery does meanwhile; at a first start, and where
/// SIGTERM ends all at once and each is started anew in the place of its own.
#[rstest]
#[case::up(None)]
#[case::silent(Some(Does::Silent))]
#[case::busy(Some(Does::Busy))]
#[case::refusing(Some(Does::Refuses))]
fn many_that_start_at_once_are_ready_in_time(#[case] does: Option<Does>, #[values("push", "ask")] way: &str) {
    const PROCESSES: usize = 20;
    let (host, origin) = (Peer::start(false), Peer::start(true));
    let known = list(1, true, &[member("origin", origin.addr, "ready"), member("s-0", host.addr, "ready")]);
    let service = Service::start(does.unwrap_or(Does::Tells(known.clone())));
    let mut config = config(service.addr, 1024, known);
    config["settings"]["discovery"] = way.into();
    let begun = Instant::now();
    let first: Vec<_> = (0..PROCESSES)
        .map(|_| {
            let config = config.clone();
            thread::spawn(move || {
                let home = Home::new();
                let balancer = Balancer::start_at(&home, &config);
                (served(&home, &balancer, begun), home, balancer)
            })
        })
        .collect();
    let first: Vec<_> = first.into_iter().map(|it| it.join().expect("it is ready")).collect();
    let terminated = Instant::now();
    first.iter().for_each(|(_, _, balancer)| balancer.terminate());
    let (mut fresh, mut anew) = (Vec::new(), Vec::new());
    let second: Vec<_> = first
        .into_iter()
        .map(|(took, home, before)| {
            fresh.push(took);
            let config = config.clone();
            thread::spawn(move || {
                let balancer = Balancer::start_at(&home, &config);
                balancer.logged("ready");
                drop(before); // it has not ended by then, and would answer as well
                served(&home, &balancer, terminated)
            })
        })
        .collect();
    anew.extend(second.into_iter().map(|it| it.join().expect("it is ready")));
    for mut took in [fresh, anew] {
        took.sort();
        assert!(took[PROCESSES * 9 / 10 - 1] < Duration::from_secs(10), "{took:?}");
        assert!(took[PROCESSES - 1] < Duration::from_secs(30), "{took:?}");
    }
}

/// How long since then, when it answers.
fn served(home: &Home, balancer: &Balancer, since: Instant) -> Duration {
    balancer.logged("accepting from the inherited socket");
    let mut client = home.client();
    client.send(&["PING"]);
    assert_eq!(client.answer(), "+PONG");
    since.elapsed()
}
