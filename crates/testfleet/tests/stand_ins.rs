//! Tests of the stand-ins without balancers: cache node, origin, discovery agent and clients, over plain sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use testfleet::WAIT_TIMEOUT;
use testfleet::cache_node::{CacheNode, CacheNodeBehaviour, Ending};
use testfleet::clients::{Class, Clients, Load, Outcome};
use testfleet::discovery::{DiscoveryAgent, Member, Phase};
use testfleet::event_log::EventLog;
use testfleet::origin::{Origin, OriginBehaviour};
use testfleet::relay::ConnectionRegistry;
use testfleet::runtime::Runtime;

fn connect(addr: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    BufReader::new(stream)
}

fn read_line(stream: &mut BufReader<TcpStream>) -> String {
    let mut line = String::new();
    stream.read_line(&mut line).unwrap();
    line.trim_end().to_owned()
}

fn send_get(stream: &mut BufReader<TcpStream>, id: &str) {
    let words = ["CACHE.GET", "7f", id, "c=read,t=acme,d=100"];
    let words: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    stream.get_mut().write_all(format!("*4\r\n{words}").as_bytes()).unwrap();
}

#[test]
fn cache_node_follows_its_behaviour_and_records_each_attempt() {
    let (runtime, attempts) = (Runtime::start().unwrap(), EventLog::default());
    let node =
        CacheNode::start(runtime.handle(), "s-0", ConnectionRegistry::default(), attempts.clone()).unwrap();
    let mut client = connect(node.addr());
    let mut lines = |id: &str, n: usize| {
        send_get(&mut client, id);
        (0..n).map(|_| read_line(&mut client)).collect::<Vec<_>>()
    };
    assert_eq!(lines("a", 5), ["*3", "$-1", "$4", "miss", "$-1"]);
    assert_eq!(lines("b", 6)[1..3], ["$11", "value of 7f"]);
    node.clear_keys();
    assert_eq!(lines("c", 5)[3], "miss");
    node.set_behaviour(CacheNodeBehaviour::Drains);
    assert_eq!(lines("d", 1), ["-BUSY"]);
    node.set_behaviour(CacheNodeBehaviour::Fails);
    assert_eq!(lines("e", 1), ["-ERR out of order"]);
    node.set_behaviour(CacheNodeBehaviour::Serves);
    node.set_latency(Duration::from_millis(30));
    let sent_at = Instant::now();
    lines("f", 6);
    assert!(sent_at.elapsed() >= Duration::from_millis(30));
    node.set_behaviour(CacheNodeBehaviour::Hangs);
    send_get(&mut client, "g");
    attempts.wait("the attempt at the hanging node", |attempts| (attempts.len() == 7).then_some(()));
    drop(client);
    let ended = attempts.wait("the end of the attempt at the hanging node", |attempts| attempts[6].ended).1;
    assert_eq!(ended, Ending::Closed);
    node.set_behaviour(CacheNodeBehaviour::Refuses);
    assert!(!connect(node.addr()).read(&mut [0]).is_ok_and(|n| n > 0));
    let all = attempts.all();
    assert_eq!(all.iter().map(|it| &it.id[..]).collect::<String>(), "abcdefg");
    assert!(all[..6].iter().all(|it| it.ended.is_some_and(|it| it.1 == Ending::Answered)));
    assert!(all.iter().all(|it| it.class == "read" && it.key == "7f" && it.balancer.is_none()));
}

#[test]
fn origin_records_failed_executions_but_not_declined_requests() {
    let runtime = Runtime::start().unwrap();
    let origin = Origin::start(runtime.handle(), ConnectionRegistry::default(), EventLog::default()).unwrap();
    let mut client = connect(origin.addr());
    let mut put = |id: &str| {
        let head = format!("PUT /7f HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Extra: c=once,t=acme\r\n");
        client.get_mut().write_all(format!("{head}Content-Length: 1\r\n\r\nv").as_bytes()).unwrap();
        let status = read_line(&mut client);
        let head: Vec<_> =
            std::iter::from_fn(|| Some(read_line(&mut client)).filter(|it| !it.is_empty())).collect();
        let length = head.iter().find_map(|it| it.strip_prefix("content-length: ")).unwrap();
        client.read_exact(&mut vec![0; length.parse().unwrap()]).unwrap();
        (status[9..12].to_owned(), head.iter().any(|it| it == "srv-declined: 1"))
    };
    assert_eq!(put("a"), ("200".into(), false));
    origin.set_behaviour(OriginBehaviour::Declines);
    assert_eq!(put("b"), ("503".into(), true));
    origin.set_behaviour(OriginBehaviour::Fails);
    assert_eq!(put("c"), ("500".into(), false));
    let runs = origin.executions().all();
    assert_eq!(
        runs.iter().map(|it| (&it.id[..], &it.class[..])).collect::<Vec<_>>(),
        [("a", "once"), ("c", "once")]
    );
}

/// Returns the next line of a watch that is not a keep-alive.
fn next_change(watch: &mut BufReader<TcpStream>) -> String {
    loop {
        let next = read_line(watch);
        if next.starts_with('{') {
            return next;
        }
    }
}

#[test]
fn paused_updates_are_published_only_after_resume() {
    let (runtime, notifications) = (Runtime::start().unwrap(), EventLog::default());
    let member = Member {
        name: "s-0".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        zone: "z0".into(),
        kind: "m".into(),
        phase: Phase::Ready,
        weight: 1.0,
        ids: 1,
    };
    let agent = DiscoveryAgent::start(runtime.handle(), 4, vec![member], notifications.clone()).unwrap();
    let mut watch = connect(agent.addr());
    watch.get_mut().write_all(b"GET /v1/endpoints?watch=1&from=1 HTTP/1.1\r\n\r\n").unwrap();
    agent.set_phase("s-0", Phase::Draining);
    assert!(next_change(&mut watch).contains("draining"));
    agent.pause_updates();
    agent.update("s-0", |member| member.weight = 9.0);
    agent.set_phase("s-0", Phase::Gone);
    let list = agent.list();
    assert_eq!((&list["revision"], &list["members"][0]["size"]), (&2.into(), &1.0.into()));
    agent.resume_updates();
    let both = next_change(&mut watch);
    assert!(both.contains("9.0") && both.contains("gone") && both.contains("\"revision\":4"), "{both}");
    assert_eq!(agent.list()["members"].as_array().unwrap().len(), 0);
    let phases =
        notifications.wait("three notifications", |entries| (entries.len() == 3).then(|| entries.to_vec()));
    assert_eq!(
        phases.iter().map(|it| it.phase).collect::<Vec<_>>(),
        [Phase::Draining, Phase::Draining, Phase::Gone]
    );
    assert!(phases.iter().all(|it| it.balancer == 4 && it.endpoint == "s-0"));
}

#[test]
fn clients_record_each_answer_duplicates_and_lost_connections() {
    let runtime = Runtime::start().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clients = Clients::new(runtime.handle(), vec![listener.local_addr().unwrap()]);
    let load = |seed| Load {
        per_second: 1_000.0,
        requests: 1,
        balancers: vec![0],
        classes: vec![Class { name: "once".into(), write: true }],
        tenants: vec!["acme".into()],
        keys: 10,
        deadline: Duration::from_secs(60),
        seed,
    };
    let mut buffer = [0; 4096];
    clients.start_load(load(1));
    let (mut first, _) = listener.accept().unwrap();
    let n = first.read(&mut buffer).unwrap();
    assert!(String::from_utf8_lossy(&buffer[..n]).contains("c=once,t=acme,d=60000,k=0000000000000001"));
    first.write_all(b"$1\r\nv\r\n$1\r\nw\r\n").unwrap();
    clients.await_answered(1);
    clients.start_load(load(2));
    let (mut second, _) = listener.accept().unwrap(); // the connection with the unexpected answer is not reused
    second.read(&mut buffer).map(drop).unwrap();
    second.write_all(b"-BUSY 20\r\n").unwrap();
    clients.await_answered(2);
    clients.start_load(load(3));
    second.read(&mut buffer).map(drop).unwrap();
    drop(second);
    clients.await_answered(3);
    let answers = clients.calls().all().into_iter().map(|call| call.answers);
    let answers: Vec<Vec<Outcome>> = answers.map(|all| all.into_iter().map(|it| it.1).collect()).collect();
    assert_eq!((answers[0].len(), &answers[0][0]), (2, &Outcome::Served));
    assert_eq!(answers[1], [Outcome::Rejected]);
    assert!(matches!(answers[2][..], [Outcome::Lost(_)]));
}
