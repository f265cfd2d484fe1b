//! More clients than connection slots as the process ends: what each has written is answered before its connection ends.

mod platform;

use platform::*;
use std::time::Instant;

/// Sockets of the process, and the slots that it has of them.
const SOCKETS: u64 = 100;
const SLOTS: usize = 40;
/// Clients beyond them.
const CROWD: usize = 60;

/// A request is taken once it is written to a connection that the machine has accepted, whether the process has or not. With the
/// listener, what was not accepted by the process would be reset.
#[test]
fn sigterm_refuses_what_clients_without_a_slot_have_written() {
    let mut p = Platform::configured(1, 1024, |config| config["limits"]["sockets"] = SOCKETS.into());
    // All wait for the one fetch of their key, which hangs.
    let asks = || {
        let mut client = p.balancer.client();
        client.get("leer", "1");
        p.peers[0].asked().miss();
        client
    };
    let mut busy: Vec<Client> = (0..SLOTS).map(|_| asks()).collect();
    let _hangs = p.origin.asked();
    let mut crowd: Vec<Client> = (0..CROWD).map(|_| p.balancer.client()).collect();
    crowd.iter_mut().for_each(|client| client.get("leer", "1"));
    p.balancer.logged("client connections are busy");
    p.balancer.terminate();
    let told = Instant::now();
    for (number, client) in crowd.iter_mut().enumerate() {
        let answer = client.answer();
        assert!(
            answer.starts_with("-BUSY"),
            "client {number} of the crowd: {answer:?}, {:?} on",
            told.elapsed()
        );
        assert!(client.ended());
    }
    for client in &mut busy {
        assert!(client.answer().starts_with('-'), "its fetch hangs");
    }
    assert!(p.balancer.exit().success());
}
