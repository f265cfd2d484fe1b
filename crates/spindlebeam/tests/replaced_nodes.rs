//! New processes at the addresses of cache nodes that have gone.

mod platform;
use platform::*;
use rstest::rstest;
use serde_json::Value;

const STARTED_AT_MS: u64 = 1_700_000_000_000;

fn member_started_at(id: &str, peer: &Peer, up_since_ms: u64) -> Value {
    let mut member = member(id, peer.addr, "ready");
    member["up_since_ms"] = up_since_ms.into();
    member
}

/// How discovery tells of the new process.
#[derive(Debug, Clone, Copy, PartialEq)]
enum News {
    /// The new process alone; the end of the old one is not told.
    WithoutOldProcess,
    /// Both in one list of changes, the old process behind the new one.
    BothInOneList,
    /// The new process, and after it once more the old one, as ready.
    OldProcessAfterwards,
    /// The whole list, with both.
    WholeList,
}

/// Guards against work for a cache node that has gone being sent to the process that has taken its address: the former
/// stayed listed until its end was told, and got its share of keys at an address that is another node's.
#[rstest]
fn node_whose_address_is_taken_is_gone(
    #[values(
        News::WithoutOldProcess,
        News::BothInOneList,
        News::OldProcessAfterwards,
        News::WholeList
    )]
    news: News,
) {
    let mut platform = Platform::with_admin_endpoint(2);
    let known = platform.metric("cache_hosts_known");
    let old = member_started_at("s-0", &platform.peers[0], 0);
    let new = member_started_at("s-9", &platform.peers[0], STARTED_AT_MS);
    let other = member_started_at("s-1", &platform.peers[1], 0);
    let origin = member("origin", platform.origin.addr, "ready");
    let lists = match news {
        News::WithoutOldProcess => vec![list(2, false, &[new])],
        News::BothInOneList => vec![list(2, false, &[new, old])],
        News::OldProcessAfterwards => vec![list(2, false, &[new]), list(3, false, &[old])],
        News::WholeList => vec![list(2, true, &[old, origin, other, new])],
    };
    for list in &lists {
        push(&mut platform.watch, &list.to_string());
    }
    platform.balancer.wait_for_log("s-0 is Gone");
    // A further change shows that all lists have been applied.
    let third = member("s-7", platform.peers[1].addr, "draining");
    push(&mut platform.watch, &list(9, false, &[third]).to_string());
    platform.balancer.wait_for_log("s-7 is Draining");
    assert_eq!(platform.metric("cache_hosts_known"), known + 1, "s-9 has replaced s-0, and s-7 is new");
}
