//! Which control replica a process reports to.
//!
//! In a small deployment every process reports to the leader. Beyond [`MAX_DIRECT_MEMBERS`] each entry is assigned a
//! follower as its relay, so that the number of reports to one replica does not grow with the number of entries alone. Every
//! control replica makes the same assignment, so that the entries need not ask the leader.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Timestamp;
use crate::clock::micros;
use crate::cluster::message::Member;
use crate::cluster::message::ReportTarget;
use crate::scheduler::random::Random;

/// Members up to which all of them report to the leader itself.
pub const MAX_DIRECT_MEMBERS: usize = 160;

/// Shortest time after which an entry asks for a relay again, so that entries return to one that was lost for a while. Each
/// entry draws its own time, up to twice this, since entries that start together must not ask together.
const RELAY_RENEWAL_INTERVAL: Duration = Duration::from_secs(30);

/// The relay of an entry: a follower in its failure domain if there is one, else any. `avoid` is a relay that the entry could
/// not use. The same entry gets the same relay from every leader, and the entries of a lost relay are spread over the
/// others.
#[must_use]
pub fn assign<'a>(
    entry: &Member,
    followers: impl Iterator<Item = &'a Member> + Clone,
    avoid: Option<SocketAddrV4>,
) -> Option<SocketAddrV4> {
    let usable = followers.filter(|follower| Some(follower.peer) != avoid);
    let local = usable.clone().filter(|follower| follower.zone == entry.zone);
    let score = |follower: &&Member| xxh3_64_with_seed(&entry.peer.ip().octets(), follower.node.0);
    local.max_by_key(score).or_else(|| usable.max_by_key(score)).map(|follower| follower.peer)
}

/// Whether there are more members than report to the leader itself.
#[must_use]
pub fn are_needed(members: usize) -> bool {
    members > MAX_DIRECT_MEMBERS
}

/// The relay that a process reports to.
#[derive(Debug, Default)]
pub struct AssignedRelay {
    /// The relay, and until when.
    assigned: Cell<Option<(Timestamp, SocketAddrV4)>>,
    /// The last relay that failed.
    avoid: Cell<Option<SocketAddrV4>>,
}

impl AssignedRelay {
    /// The relay to report to, unless it is time to ask for one again.
    #[must_use]
    pub fn current(&self, now: Timestamp) -> Option<SocketAddrV4> {
        let (until, relay) = self.assigned.get()?;
        (now < until).then_some(relay)
    }

    /// What a report to the leader asks for.
    #[must_use]
    pub fn target(&self) -> ReportTarget {
        ReportTarget::LeaderOrRelay { avoid: self.avoid.get() }
    }

    /// Follows an assignment; without a relay the process reports to the leader.
    pub fn assign(&self, now: Timestamp, relay: Option<SocketAddrV4>, random: &mut Random) {
        let spread = random.below(micros(RELAY_RENEWAL_INTERVAL));
        let until = now + RELAY_RENEWAL_INTERVAL + Duration::from_micros(spread);
        self.assigned.set(relay.map(|relay| (until, relay)));
        self.avoid.set(None);
    }

    /// Gives up a relay that did not answer.
    pub fn give_up(&self, relay: SocketAddrV4) {
        self.assigned.set(None);
        self.avoid.set(Some(relay));
    }
}
