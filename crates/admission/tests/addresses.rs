//! The limits of one client address.

use admission::addresses::{AddressLimiter, MAX_ADDRESSES};
use std::net::{IpAddr, Ipv4Addr};

#[test]
fn address_that_opens_without_commands_runs_out_and_one_that_sends_commands_never_does() {
    let mut limiter = AddressLimiter::new(64);
    let (bad, good) = (IpAddr::from([10, 0, 0, 1]), IpAddr::from([10, 0, 0, 2]));
    // 500 openings a second, each closed silent at once: 32 are free, and 32 a second after that.
    let open = |limiter: &mut AddressLimiter, n: u64| {
        let fair = limiter.record_open(n * 2_000, bad);
        limiter.record_silent_close(n * 2_000, bad);
        fair
    };
    let fair = (0..1_000).filter(|n| open(&mut limiter, *n)).count();
    assert!((90..=100).contains(&fair), "{fair} in two seconds");
    for n in 0..10_000 {
        assert!(limiter.record_open(n * 100, good), "10,000 a second, each with a command");
        limiter.record_first_command(n * 100, good);
    }
}

#[test]
fn address_holds_a_quarter_of_the_slots_without_a_command() {
    let mut limiter = AddressLimiter::new(64);
    let address = IpAddr::from([10, 0, 0, 1]);
    let fair = (0..64).filter(|n| limiter.record_open(n * 1_000_000, address)).count();
    assert_eq!(fair, 16);
    limiter.record_silent_close(64_000_000, address);
    assert!(!limiter.record_open(65_000_000, address));
}

#[test]
fn memory_is_bounded_whatever_number_of_addresses_connect() {
    let mut limiter = AddressLimiter::new(64);
    for n in 0..100_000 {
        limiter.record_open(n, IpAddr::V4(Ipv4Addr::from_bits(n as u32)));
    }
    assert_eq!(limiter.remembered(), MAX_ADDRESSES);
}
