//! Intervals, timeouts and fan-outs of the protocol.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::Micros;

/// Upper bound on the bytes of a datagram. Every network path carries 1,200 bytes, of which 50 are left for
/// the owner's own header.
pub const MAX_DATAGRAM: usize = 1_150;

/// Settings of the protocol. All members must use the same ones. The default is for 3 to 1,000 members in one site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time from one probe to the next. A shorter interval detects a crash of many members sooner, and costs two small
    /// datagrams for each probe.
    pub probe_interval: Micros,
    /// Time from a probe to the indirect probes. It must be longer than nearly every answer takes and less than half of
    /// `probe_interval`.
    pub probe_timeout: Micros,
    /// Number of members that are asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Time from a suspicion to declaring the suspect down. It keeps a stalled process or
    /// lost datagrams from being mistaken for a crash.
    pub suspicion_timeout: Micros,
    /// Number of reminders that the suspect gets during a suspicion.
    pub reminders: u8,
    /// Number of times that each member passes on an update. Half of the datagrams are lost when half of the
    /// fleet has just crashed.
    pub max_transmissions: u8,
    /// Time from one gossip round to the next while there are updates to send.
    pub gossip_interval: Micros,
    /// Number of members that receive each gossip round.
    pub gossip_fanout: usize,
    /// Time from one rejoin round to the next while members of the roster are not up.
    pub rejoin_interval: Micros,
    /// Time from one rejoin round to the next within `fast_rejoin_time` of a join, a renewal or a stall.
    pub fast_rejoin_interval: Micros,
    /// Number of members that each rejoin round announces this member to.
    pub rejoin_fanout: usize,
    /// Time after a join, a renewal or a stall in which `fast_rejoin_interval` applies.
    pub fast_rejoin_time: Micros,
    /// Time after the first received datagram in which a member treats a higher incarnation of its number as
    /// the stale one of an earlier process, and exceeds it. Later, the member treats such an incarnation as
    /// its own replacement.
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
    /// Returns the configuration of foca. Its own periodic announcements are off, because rejoin rounds cover
    /// the roster.
    pub(crate) fn to_foca(&self) -> Config {
        let at_least_one = |count: usize| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
        let duration = |micros: Micros| Duration::from_micros(micros.max(1));
        Config {
            probe_period: duration(self.probe_interval),
            probe_rtt: duration(self.probe_timeout),
            num_indirect_probes: at_least_one(self.indirect_probes),
            max_transmissions: NonZeroU8::new(self.max_transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: duration(self.suspicion_timeout),
            // Members that are down are never removed, because a forgotten incarnation could come back. There
            // is one entry for each number of the roster.
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
