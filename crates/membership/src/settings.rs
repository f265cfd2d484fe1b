//! Intervals, timeouts and fan-outs of the protocol.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::Micros;

/// Upper bound on the bytes of a datagram. It leaves an owner 50 bytes for its own header within the 1,200 bytes that every
/// path carries.
pub const MAX_DATAGRAM: usize = 1_150;

/// Settings of the protocol, the same for all members. The default is for 3 to 1,000 members in one site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time from one probe to the next. A shorter interval detects a crash of many members sooner, and costs two small
    /// datagrams for each probe.
    pub probe_interval: Micros,
    /// Time from a probe to the indirect probes: longer than nearly every answer takes, less than half the interval.
    pub probe_timeout: Micros,
    /// How many members are asked to probe one that did not answer.
    pub indirect_probes: usize,
    /// Time from a suspicion to declaring the suspect down. It guards against a stalled process, or loss, that looks like a
    /// crash.
    pub suspicion_timeout: Micros,
    /// How often the suspect is reminded during the suspicion.
    pub reminders: u8,
    /// How often each member passes on an update. Half of the datagrams are lost where half the fleet has just crashed.
    pub max_transmissions: u8,
    /// Time from one gossip round to the next, while there are updates.
    pub gossip_interval: Micros,
    /// Members that receive a gossip round.
    pub gossip_fanout: usize,
    /// Time from one rejoin round to the next, while members of the roster are not up.
    pub rejoin_interval: Micros,
    /// The same within `fast_rejoin_time` of a join, a renewal or a stall.
    pub fast_rejoin_interval: Micros,
    /// Members asked in a rejoin round.
    pub rejoin_fanout: usize,
    /// How long after a join, a renewal or a stall to use the fast interval.
    pub fast_rejoin_time: Micros,
    /// How long after its start a member takes a higher incarnation of its number for a stale one of an earlier process, and
    /// exceeds it. Later, it takes that incarnation for its own replacement.
    pub stale_incarnation_time: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: 300_000,
            probe_timeout: 100_000,
            indirect_probes: 4,
            suspicion_timeout: 3_000_000,
            reminders: 4,
            max_transmissions: 30,
            gossip_interval: 100_000,
            gossip_fanout: 3,
            rejoin_interval: 250_000,
            fast_rejoin_interval: 60_000,
            rejoin_fanout: 2,
            fast_rejoin_time: 3_000_000,
            stale_incarnation_time: 10_000_000,
        }
    }
}

impl Settings {
    /// The configuration of foca. Its own periodic announcements are off, since rejoin rounds follow the roster.
    pub(crate) fn to_foca(&self) -> Config {
        let at_least_one = |count: usize| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
        let duration = |micros: Micros| Duration::from_micros(micros.max(1));
        Config {
            probe_period: duration(self.probe_interval),
            probe_rtt: duration(self.probe_timeout),
            num_indirect_probes: at_least_one(self.indirect_probes),
            max_transmissions: NonZeroU8::new(self.max_transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: duration(self.suspicion_timeout),
            // Kept for good, one entry for each number of the roster: a forgotten incarnation could come back.
            remove_down_after: None,
            max_packet_size: at_least_one(MAX_DATAGRAM),
            notify_down_members: true,
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(PeriodicParams {
                frequency: duration(self.gossip_interval),
                num_members: at_least_one(self.gossip_fanout),
            }),
        }
    }
}
