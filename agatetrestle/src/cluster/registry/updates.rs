//! The content of updates: what a process lacks, encoded once for all that lack the same.

use std::time::Duration;

use agatetrestle_config::deployment::Role;
use smol::Timer;
use smol::lock::SemaphoreGuard;

use crate::clock::Timestamp;
use crate::cluster::encoded::EncodedCache;
use crate::cluster::message::ListVersion;
use crate::cluster::message::Report;
use crate::cluster::message::ReportTarget;
use crate::cluster::message::Update;
use crate::cluster::registry::ClusterRegistry;
use crate::cluster::registry::scope;
use crate::cluster::versioned::Scope;
use crate::codec::Compressed;
use crate::node::peer_link::with_deadline;

/// Full lists that are sent at once, and the time that each takes up. A list is thousands of servers for each of hundreds of
/// processes; sent together, they would delay heartbeats beyond the election timeout.
pub(super) const MAX_CONCURRENT_FULL_LISTS: usize = 4;
const FULL_LIST_INTERVAL: Duration = Duration::from_millis(10);

/// Encoded lists, each shared by all updates that contain it.
#[derive(Default)]
pub(super) struct EncodedLists {
    routes: EncodedCache<u64>,
    full_backends: EncodedCache<ListVersion>,
    backends: EncodedCache<(ListVersion, ListVersion)>,
    public_members: EncodedCache<(ListVersion, ListVersion)>,
    all_members: EncodedCache<(ListVersion, ListVersion)>,
    /// Full list for processes of older builds.
    full_members: EncodedCache<ListVersion>,
}

/// The turn of a process to be sent the list of backend servers.
struct Turn<'a> {
    _permit: Option<SemaphoreGuard<'a>>,
}

impl ClusterRegistry {
    /// Adds the routes that a process lacks, and what it has to know of the state groups.
    pub(super) fn add_configuration(&self, report: &Report, update: &mut Update) {
        let member = &report.introduction.member;
        self.group.machine(|state| {
            update.revision = state.configuration().revision;
            let routes = state.routes().filter(|document| document.revision > report.known.revision);
            update.routes = routes.map(|document| {
                (document.revision, self.encoded.routes.get_or_encode(document.revision, || document.clone()))
            });
            update.groups = state.initial_voters().len();
            if member.role == Role::Store && !member.ready {
                update.founding = state.initial_voters().to_vec();
            }
            update.leaving = state.configuration().leaving.keys().cloned().collect();
        });
    }

    /// Adds the changes of the lists that a process lacks.
    pub(super) async fn add_lists(&self, report: &Report, deadline: Timestamp, update: &mut Update) {
        let turn = self.wait_for_turn(report.known.backends, deadline).await;
        let role = report.introduction.member.role;
        let (current, known) = (self.current_versions(role), report.known);
        if turn.is_some() && current.backends > known.backends {
            update.backends =
                Some((current.backends, self.encoded_backends(known.backends, current.backends)));
        }
        if current.members > known.members {
            let cache =
                if role == Role::Control { &self.encoded.all_members } else { &self.encoded.public_members };
            let list = self.view.member_list().borrow();
            if report.target == ReportTarget::Leader {
                let all = || list.visible_items(scope(role));
                let whole = self.encoded.full_members.get_or_encode(current.members, all);
                update.members = Some((current.members, whole));
                return;
            }
            let change = || list.change_since(known.members, scope(role));
            let encoded = cache.get_or_encode((known.members, current.members), change);
            update.member_change = Some((current.members, encoded));
        }
    }

    fn encoded_backends(&self, known: ListVersion, current: ListVersion) -> Compressed {
        let list = self.view.backends().borrow();
        let change = || list.change_since(known, Scope::Public);
        if list.is_base(known) {
            self.encoded.backends.get_or_encode((known, current), change)
        } else {
            self.encoded.full_backends.get_or_encode(current, change)
        }
    }

    /// Waits for a turn to send the list of backend servers, if the process needs the full list. Returns none if there was no
    /// turn before the deadline; the next report of the process waits again.
    async fn wait_for_turn(&self, known: ListVersion, deadline: Timestamp) -> Option<Turn<'_>> {
        let needs_full_list = {
            let list = self.view.backends().borrow();
            list.version(Scope::Public) > known && !list.is_base(known)
        };
        if !needs_full_list {
            return Some(Turn { _permit: None });
        }
        let remaining = deadline.since(self.clock.now()).max(FULL_LIST_INTERVAL);
        let permit = with_deadline(remaining, self.full_lists.acquire()).await?;
        Timer::after(FULL_LIST_INTERVAL).await;
        Some(Turn { _permit: Some(permit) })
    }
}
