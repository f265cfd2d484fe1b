//! Tests which descriptors can be taken over.

use socket_activation::{InheritedSocketError, take_over_listener};
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsRawFd, IntoRawFd};

#[test]
fn only_listening_socket_is_taken_over_and_only_once() {
    let own = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = own.local_addr().unwrap();
    let number = own.into_raw_fd(); // open and without an owner, as after exec
    let taken = take_over_listener(number).unwrap();
    assert_eq!((taken.local_addr().unwrap(), taken.as_raw_fd()), (addr, number));
    assert_eq!(take_over_listener(number).unwrap_err(), InheritedSocketError::Taken(number));

    let client = TcpStream::connect(addr).unwrap();
    let number = client.as_raw_fd();
    assert_eq!(take_over_listener(number).unwrap_err(), InheritedSocketError::NotListening(number));
    assert_eq!(take_over_listener(1 << 20).unwrap_err(), InheritedSocketError::NotListening(1 << 20));
    assert_eq!(take_over_listener(2).unwrap_err(), InheritedSocketError::Reserved(2));
    assert_eq!(take_over_listener(-1).unwrap_err(), InheritedSocketError::Reserved(-1));
}
