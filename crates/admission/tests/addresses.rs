//! Limits on the silent connections and openings of one client address.

use admission::addresses::{AddressLimiter, MAX_ADDRESSES};
use std::net::{IpAddr, Ipv4Addr};

#[test]
fn only_an_address_without_commands_runs_out_of_tokens() {
    let mut limiter = AddressLimiter::new(64);
    let (silent, sending) = (IpAddr::from([10, 0, 0, 1]), IpAddr::from([10, 0, 0, 2]));
    // 500 connections a second are opened and closed at once without a command. 32 are within the limit at first, and
    // 32 a second after that.
    let open = |limiter: &mut AddressLimiter, n: u64| {
        let within_limit = limiter.record_open(n * 2_000, silent);
        limiter.record_silent_close(n * 2_000, silent);
        within_limit
    };
    let within_limit = (0..1_000).filter(|n| open(&mut limiter, *n)).count();
    assert!((90..=100).contains(&within_limit), "{within_limit} openings within the limit in two seconds");
    for n in 0..10_000 {
        assert!(
            limiter.record_open(n * 100, sending),
            "10,000 openings a second are allowed, each with a command"
        );
        limiter.record_first_command(n * 100, sending);
    }
}

#[test]
fn address_holds_a_quarter_of_the_slots_without_a_command() {
    let mut limiter = AddressLimiter::new(64);
    let address = IpAddr::from([10, 0, 0, 1]);
    let within_limit = (0..64).filter(|n| limiter.record_open(n * 1_000_000, address)).count();
    assert_eq!(within_limit, 16);
    limiter.record_silent_close(64_000_000, address);
    assert!(!limiter.record_open(65_000_000, address));
}

#[test]
fn memory_is_bounded_for_any_number_of_addresses() {
    let mut limiter = AddressLimiter::new(64);
    for n in 0..100_000 {
        limiter.record_open(n, IpAddr::V4(Ipv4Addr::from_bits(n as u32)));
    }
    assert_eq!(limiter.address_count(), MAX_ADDRESSES);
}
