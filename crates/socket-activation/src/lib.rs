//! A listening socket that the process was started with, under a number that the platform names.
//!
//! The standard library makes a socket of a number by `unsafe` code alone, since it cannot know whom the number belongs
//! to. This crate holds that one step and what makes it sound; everything else stays free of it.
#![warn(unreachable_pub)]

use socket2::{Domain, SockRef, Type};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use std::sync::Mutex;
use thiserror::Error;

/// Why a descriptor is not to be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InheritedSocketError {
    /// Standard input, output or error, or a negative number.
    #[error("{0} is no number of an inherited socket (3 or more)")]
    Reserved(RawFd),
    /// It was given out before.
    #[error("descriptor {0} was taken before")]
    Taken(RawFd),
    /// Nothing is open under it, or what is open is no socket that listens for TCP over IP.
    #[error("descriptor {0} is no listening TCP socket")]
    NotListening(RawFd),
}

/// The numbers given out, so that no two owners ever hold one.
static GIVEN_OUT: Mutex<BTreeSet<RawFd>> = Mutex::new(BTreeSet::new());

/// Takes the listening TCP socket that this process inherited under `number`. To be called at the start, before anything
/// else is opened: a number that is free then cannot be one of our own later.
///
/// # Errors
/// When there is no such socket, or it was taken before.
pub fn listener(number: RawFd) -> Result<TcpListener, InheritedSocketError> {
    if number < 3 {
        return Err(InheritedSocketError::Reserved(number));
    }
    let mut given_out = GIVEN_OUT.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    if given_out.contains(&number) {
        return Err(InheritedSocketError::Taken(number));
    }
    // SAFETY: a number is only looked at here, by system calls that fail on one that is not open; it is not -1. The
    // borrow ends with this block, and the standard descriptors are not looked at.
    #[allow(unsafe_code)]
    let listens = {
        let borrowed = unsafe { BorrowedFd::borrow_raw(number) };
        let socket = SockRef::from(&borrowed);
        let ip = socket.domain().is_ok_and(|it| it == Domain::IPV4 || it == Domain::IPV6);
        ip && socket.r#type().is_ok_and(|it| it == Type::STREAM) && socket.is_listener().unwrap_or(false)
    };
    if !listens {
        return Err(InheritedSocketError::NotListening(number));
    }
    given_out.insert(number);
    // SAFETY: the descriptor is open and is a listening TCP socket (above). Nothing of this process listens before its
    // start calls this, so that it came from the parent and has no other owner here; and it is given out once only.
    #[allow(unsafe_code)]
    Ok(unsafe { TcpListener::from_raw_fd(number) })
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpStream;
    use std::os::fd::{AsRawFd, IntoRawFd};

    #[test]
    fn a_listening_socket_is_given_out_once_and_nothing_else_ever() {
        let own = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = own.local_addr().unwrap();
        let number = own.into_raw_fd(); // as after exec: open, and nobody's
        let taken = listener(number).unwrap();
        assert_eq!((taken.local_addr().unwrap(), taken.as_raw_fd()), (addr, number));
        assert_eq!(listener(number).unwrap_err(), InheritedSocketError::Taken(number));

        let client = TcpStream::connect(addr).unwrap();
        let number = client.as_raw_fd();
        assert_eq!(listener(number).unwrap_err(), InheritedSocketError::NotListening(number));
        assert_eq!(listener(1 << 20).unwrap_err(), InheritedSocketError::NotListening(1 << 20));
        assert_eq!(listener(2).unwrap_err(), InheritedSocketError::Reserved(2));
        assert_eq!(listener(-1).unwrap_err(), InheritedSocketError::Reserved(-1));
    }
}
