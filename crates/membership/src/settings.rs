//! Intervals, timeouts and fan-outs of the membership protocol: SWIM, as implemented by foca, with rejoin rounds.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::Micros;

/// Upper bound on the bytes of a datagram. Every network path carries 1,200 bytes, of which 50 are left for
/// the header that the owner of the [`Membership`](crate::Membership) adds.
pub const MAX_DATAGRAM: usize = 1_150;

/// Settings of the membership protocol. All members must use the same values. The default is for 3 to 1,000
/// members in one site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time from one probe to the next. A shorter interval detects a crash of many members sooner, and costs two small
    /// datagrams for each probe.
    pub probe_interval: Micros,
    /// Time from a probe to the indirect probes. It must be longer than nearly every round trip and less than half of
    /// `probe_interval`.
    pub probe_timeout: Micros,
    /// Number of members that are asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Time from a suspicion to declaring the suspect down. It keeps a stalled process or
    /// lost datagrams from being mistaken for a crash.
    pub suspicion_timeout: Micros,
    /// Number of datagrams that notify the suspect of a suspicion, so that it can refute it. They are spread over
    /// `suspicion_timeout`.
    pub suspicion_notices: u8,
    /// Number of times that each member passes on an update. It must suffice when half of the fleet has just
    /// crashed, and half of the datagrams are lost.
    pub max_transmissions: u8,
    /// Time from one gossip round to the next while there are updates to send.
    pub gossip_interval: Micros,
    /// Number of members that each gossip round sends to.
    pub gossip_fanout: usize,
    /// Time from one rejoin round to the next. A rejoin round announces this member to some members of the
    /// [`Roster`](crate::Roster), the list of all possible members, that are not up.
    pub rejoin_interval: Micros,
    /// Time from one rejoin round to the next within `fast_rejoin_period` of a join, of a renewal of the
    /// incarnation ([`Action::Renewed`](crate::Action::Renewed)), or of a stall of the process.
    pub fast_rejoin_interval: Micros,
    /// Number of members to which each rejoin round announces this member.
    pub rejoin_fanout: usize,
    /// Period after a join, a renewal or a stall in which `fast_rejoin_interval` applies.
    pub fast_rejoin_period: Micros,
    /// How long after its first received datagram a member treats a higher incarnation of its own number as stale, left
    /// by an earlier process. It then continues under an incarnation above the stale one. After this time, a higher
    /// incarnation belongs to a later process that has replaced the member.
    pub stale_incarnation_time: Micros,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            probe_interval: 300_000,
            probe_timeout: 100_000,
            indirect_probes: 4,
            suspicion_timeout: 3_000_000,
            suspicion_notices: 4,
            max_transmissions: 30,
            gossip_interval: 100_000,
            gossip_fanout: 3,
            rejoin_interval: 250_000,
            fast_rejoin_interval: 60_000,
            rejoin_fanout: 2,
            fast_rejoin_period: 3_000_000,
            stale_incarnation_time: 10_000_000,
        }
    }
}

impl Settings {
    /// Returns the configuration of foca. Its own periodic announcements are off, because rejoin rounds
    /// announce this member to the members of the roster that are not up.
    pub(crate) fn to_foca_config(&self) -> Config {
        let at_least_one = |count: usize| NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
        let duration = |micros: Micros| Duration::from_micros(micros.max(1));
        Config {
            probe_period: duration(self.probe_interval),
            probe_rtt: duration(self.probe_timeout),
            num_indirect_probes: at_least_one(self.indirect_probes),
            max_transmissions: NonZeroU8::new(self.max_transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: duration(self.suspicion_timeout),
            // Members that are down are never removed, because a removed incarnation could be accepted again.
            // The roster bounds the number of entries: there is one for each of its numbers.
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
