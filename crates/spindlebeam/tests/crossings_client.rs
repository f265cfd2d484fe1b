//! The end of a client's connection: clients that leave in any state, and what crosses the end of the process.

mod platform;
use platform::sockets::in_state;
use platform::*;
use rstest::rstest;
use std::net::Shutdown;

/// More commands than one connection may have waiting for answers.
const FLOOD: usize = 100;
/// Those of them that are taken at most before the first is answered.
const TAKEN: usize = 32;

/// What is not read from any more, and why, when its client leaves.
enum Deaf {
    /// It has sent more than may wait.
    Flooded,
    /// It has said goodbye, and is owed an answer.
    Quit,
    /// Its large answer has begun and does not go on, with a request behind it.
    Streams,
}

/// A client that is not read from leaves: found by reading, since its end lay behind what was not read.
#[rstest]
#[case::flooded(Deaf::Flooded)]
#[case::quit(Deaf::Quit)]
#[case::streams(Deaf::Streams)]
fn a_client_that_is_not_read_from_takes_its_tries_with_it(#[case] deaf: Deaf) {
    let p = Platform::start(1);
    let mut client = p.balancer.client();
    match deaf {
        Deaf::Flooded => {
            client.flood("alta", FLOOD);
            let kept: Vec<Asked> = (0..TAKEN).map(|_| p.origin.asked()).collect();
            drop(client);
            (0..TAKEN).for_each(|_| assert!(p.origin.closed(), "each try is given up"));
            drop(kept);
            assert!(p.origin.heard_of_nothing_more(), "none of what it had sent is sent on");
        }
        Deaf::Quit => {
            client.get("leer", "1");
            client.send(&["QUIT"]);
            let _unanswered = p.peers[0].asked();
            drop(client);
            assert!(p.peers[0].closed());
        }
        Deaf::Streams => {
            ["a1", "a2"].iter().for_each(|id| client.get_as(id, "leer", "1"));
            let mut asked = [p.peers[0].asked(), p.peers[0].asked()];
            let first = asked.iter_mut().find(|it| it.words[2] == "a1").unwrap();
            first.part("*3\r\n$1000000\r\nabc");
            assert_eq!(client.line(), "$1000000");
            drop(client);
            assert!(
                p.peers[0].closed() && p.peers[0].closed(),
                "the answer under way, and the try behind it"
            );
        }
    }
}

/// Found on the bench: a process told to end took requests for as long as it held connections, and the platform ended it
/// (the longest deadline, counted as 3 s where it is longer, and 0.7 s after SIGTERM) before they had their answers.
#[rstest]
#[case::short_deadlines(1_300_000, 1_300 + 700)]
#[case::long_deadlines(50_000_000, 3_000 + 700)]
fn what_is_taken_by_a_process_that_ends_has_its_answer_before_it_is_ended(
    #[case] deadline_us: u64, #[case] within_ms: u128,
) {
    let mut p = Platform::configured(1, 1024, |config| {
        for class in config["settings"]["profiles"].as_array_mut().unwrap() {
            class["deadlineUs"] = deadline_us.into();
            class["onTimeUs"] = deadline_us.min(1_000_000).into();
        }
    });
    let (mut busy, mut clock) = (p.balancer.client(), p.balancer.client());
    // Fragile writes whose answers never come: one is in the way, and one of a second tells the time.
    busy.set("folio", "1");
    let _first = p.origin.asked();
    p.balancer.terminate();
    p.balancer.logged("shutting down gracefully");
    let told = std::time::Instant::now();
    clock.send(&["CACHE.SET", "1", "aa", "c=folio,t=acme,d=1000,k=1", "v"]);
    let _second = p.origin.asked();
    assert!(clock.answer().starts_with("-"), "its time was over");
    busy.set("folio", "2");
    assert!(busy.answer().starts_with("-") && busy.answer().starts_with("-"), "each has its answer");
    assert!(busy.ended());
    assert!(p.balancer.exit().success());
    let took = told.elapsed().as_millis();
    assert!(took <= within_ms, "{took} ms");
}

/// A command crosses the close of a connection whose answer is still on its way: it is left unread, and the answer comes.
#[test]
fn a_command_that_crosses_a_close_resets_no_answer() {
    let mut p = Platform::start(1);
    let mut client = p.balancer.client_that_holds(4 * 1024);
    client.get("leer", "1");
    let value = "v".repeat(60_000); // more than the client's system takes in, less than the balancer's holds back
    p.peers[0].asked().value(&value);
    p.balancer.terminate();
    p.balancer.logged("closing");
    client.get("leer", "2");
    assert_eq!(client.answer(), value);
    assert!(client.ended());
    assert!(p.peers[0].heard_of_nothing_more(), "what came after the end of our sending is not sent on");
    client.half_close(Shutdown::Write);
    assert!(p.balancer.exit().success());
}

/// Clients that rest until they are ended, and ask in the moment of the signal.
#[test]
fn a_request_that_crosses_the_signal_is_answered_or_left_unread() {
    let mut p = Platform::start(1);
    let mut resting: Vec<Client> = (0..8).map(|_| p.balancer.client()).collect();
    for client in &mut resting {
        client.send(&["PING"]);
        assert_eq!(client.answer(), "+PONG");
    }
    // Signal and requests are there before the process takes its next step.
    p.balancer.stopped(|| {
        p.balancer.terminate();
        resting.iter_mut().for_each(|client| client.get("leer", "1"));
    });
    resting.iter().for_each(|_| p.peers[0].asked().value("v"));
    for client in &mut resting {
        assert_eq!((client.answer().as_str(), client.ended()), ("v", true));
    }
    assert!(p.balancer.exit().success());
}

/// Has a client send that many commands and leave; returns once the system of a stopped balancer knows of the end.
fn floods_and_leaves(p: &Platform, mut client: Client, many: usize) {
    const CLOSE_WAIT: &str = "08";
    client.flood("alta", many);
    let port = client.port();
    drop(client);
    wait_until(|| in_state(p.balancer.addr, port, CLOSE_WAIT));
}

/// Commands and their client's end are there before the process takes its next step.
#[rstest]
fn nothing_is_sent_on_of_what_comes_in_one_piece_with_its_clients_end(
    #[values(1, TAKEN, FLOOD)] many: usize,
) {
    let p = Platform::start(1);
    let (mut leaves, mut stays) = (p.balancer.client(), p.balancer.client());
    leaves.send(&["PING"]);
    assert_eq!(leaves.answer(), "+PONG");
    p.balancer.stopped(|| floods_and_leaves(&p, leaves, many));
    stays.set("alta", "stays");
    assert_eq!(p.origin.asked().words.last().unwrap(), "stays", "the first that is asked anything");
    assert!(p.origin.heard_of_nothing_more());
}

/// A client that dials, asks and leaves while its connection waits in the listener's queue: all of that is there as it is accepted.
#[test]
fn nothing_is_sent_on_for_a_client_that_has_left_before_it_is_accepted() {
    let p = Platform::start(1);
    for many in [1, TAKEN, FLOOD] {
        let mut stays = p.balancer.client();
        p.balancer.stopped(|| floods_and_leaves(&p, p.balancer.client(), many));
        stays.set("alta", "stays");
        assert_eq!(p.origin.asked().words.last().unwrap(), "stays", "the first that is asked anything");
        assert!(p.origin.heard_of_nothing_more(), "{many} commands");
    }
}

/// More commands than are read are there as the process ends. What was read is answered, and the end behind that is in
/// order: a reset over what was not read would take answers with it.
#[test]
fn a_batch_that_is_read_in_part_as_the_process_ends_is_answered_so_far_and_its_connection_ended_in_order() {
    let mut p = Platform::start(1);
    let mut client = p.balancer.client();
    client.flood("folio", FLOOD);
    let _unanswered: Vec<Asked> = (0..TAKEN).map(|_| p.origin.asked()).collect();
    p.balancer.terminate();
    let ends = |client: &mut Client| client.line_or_error().expect("no reset");
    let answers = (0..).take_while(|_| !ends(&mut client).is_empty()).count();
    assert!((TAKEN..FLOOD).contains(&answers), "{answers}");
    drop(client);
    assert!(p.balancer.exit().success());
    assert!(p.origin.heard_of_nothing_more(), "what is read at the end is not sent on");
}
