//! Takes over a listening socket that the process inherited from its parent. The platform states its descriptor number.
//!
//! The standard library creates a socket from a descriptor number only with `unsafe` code, since it cannot know who
//! owns the descriptor. This crate contains that step and the checks that make it sound; all other crates forbid
//! `unsafe`.
#![warn(unreachable_pub)]

use socket2::{Domain, SockRef, Type};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use std::sync::{Mutex, PoisonError};
use thiserror::Error;

/// The lowest number of an inherited descriptor: the first after standard input, output and error.
const FIRST_INHERITED: RawFd = 3;

/// The reason why a descriptor cannot be taken over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InheritedSocketError {
    /// The number is negative, or that of standard input, output or error.
    #[error("descriptor {0} cannot be an inherited socket: the number must be 3 or more")]
    Reserved(RawFd),
    /// The descriptor was already taken over.
    #[error("descriptor {0} was already taken over")]
    Taken(RawFd),
    /// The descriptor is not open, or is not a listening TCP socket over IP.
    #[error("descriptor {0} is no listening TCP socket")]
    NotListening(RawFd),
}

/// The descriptors taken over so far. Prevents a descriptor from having two owners.
static TAKEN: Mutex<BTreeSet<RawFd>> = Mutex::new(BTreeSet::new());

/// Takes over the listening TCP socket that this process inherited under `number`.
///
/// Must be called at startup, before the process opens any other descriptor: otherwise `number` may be a descriptor
/// that the process opened itself.
///
/// # Errors
/// When the descriptor is not a listening TCP socket, or was already taken over.
pub fn take_over_listener(number: RawFd) -> Result<TcpListener, InheritedSocketError> {
    if number < FIRST_INHERITED {
        return Err(InheritedSocketError::Reserved(number));
    }
    let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
    if taken.contains(&number) {
        return Err(InheritedSocketError::Taken(number));
    }
    // SAFETY: the number is not -1, and is only passed to system calls that fail if no descriptor with this number is
    // open. The borrow ends with this block, and the standard descriptors are excluded above.
    #[allow(unsafe_code)]
    let listens = {
        let borrowed = unsafe { BorrowedFd::borrow_raw(number) };
        is_tcp_listener(&borrowed)
    };
    if !listens {
        return Err(InheritedSocketError::NotListening(number));
    }
    taken.insert(number);
    // SAFETY: the check above shows that the descriptor is open and is a listening TCP socket. This process opens no
    // listening socket before its startup calls this function, so the socket comes from the parent and has no other
    // owner in this process. `TAKEN` ensures that it is returned only once.
    #[allow(unsafe_code)]
    Ok(unsafe { TcpListener::from_raw_fd(number) })
}

/// Returns whether a descriptor is a listening TCP socket over IP.
fn is_tcp_listener(descriptor: &BorrowedFd<'_>) -> bool {
    let socket = SockRef::from(descriptor);
    let is_ip = socket.domain().is_ok_and(|domain| domain == Domain::IPV4 || domain == Domain::IPV6);
    let is_stream = socket.r#type().is_ok_and(|kind| kind == Type::STREAM);
    is_ip && is_stream && socket.is_listener().unwrap_or(false)
}
