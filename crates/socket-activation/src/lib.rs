//! Takes over a listening socket that the process inherited from its parent, under a descriptor number that the platform
//! names.
//!
//! The standard library creates a socket from a descriptor number only by `unsafe` code, since it cannot know who owns the
//! descriptor. This crate contains that one step and what makes it sound; all other crates forbid `unsafe`.
#![warn(unreachable_pub)]

use socket2::{Domain, SockRef, Type};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use std::sync::{Mutex, PoisonError};
use thiserror::Error;

/// The first descriptor after standard input, output and error.
const FIRST_INHERITED: RawFd = 3;

/// Why a descriptor cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum InheritedSocketError {
    /// Standard input, output or error, or a negative number.
    #[error("{0} is no number of an inherited socket (3 or more)")]
    Reserved(RawFd),
    /// It was taken over before.
    #[error("descriptor {0} was taken before")]
    Taken(RawFd),
    /// It is not open, or is no listening TCP socket over IP.
    #[error("descriptor {0} is no listening TCP socket")]
    NotListening(RawFd),
}

/// The descriptors taken over so far, so that none ever has two owners.
static TAKEN: Mutex<BTreeSet<RawFd>> = Mutex::new(BTreeSet::new());

/// Takes over the listening TCP socket that this process inherited under `number`.
///
/// This must be called at the start, before anything else is opened: a number that is free then cannot later be one that
/// this process opened itself.
///
/// # Errors
/// When there is no such socket, or it was taken over before.
pub fn take_listener(number: RawFd) -> Result<TcpListener, InheritedSocketError> {
    if number < FIRST_INHERITED {
        return Err(InheritedSocketError::Reserved(number));
    }
    let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
    if taken.contains(&number) {
        return Err(InheritedSocketError::Taken(number));
    }
    // SAFETY: a number is only looked at here, by system calls that fail on one that is not open; it is not -1. The
    // borrow ends with this block, and the standard descriptors are not looked at.
    #[allow(unsafe_code)]
    let listens = {
        let borrowed = unsafe { BorrowedFd::borrow_raw(number) };
        is_tcp_listener(&borrowed)
    };
    if !listens {
        return Err(InheritedSocketError::NotListening(number));
    }
    taken.insert(number);
    // SAFETY: the descriptor is open and is a listening TCP socket (above). Nothing of this process listens before its
    // start calls this, so that it came from the parent and has no other owner here; and it is given out once only.
    #[allow(unsafe_code)]
    Ok(unsafe { TcpListener::from_raw_fd(number) })
}

/// Whether a descriptor is a listening TCP socket over IP.
fn is_tcp_listener(descriptor: &BorrowedFd<'_>) -> bool {
    let socket = SockRef::from(descriptor);
    let is_ip = socket.domain().is_ok_and(|domain| domain == Domain::IPV4 || domain == Domain::IPV6);
    let is_stream = socket.r#type().is_ok_and(|kind| kind == Type::STREAM);
    is_ip && is_stream && socket.is_listener().unwrap_or(false)
}
