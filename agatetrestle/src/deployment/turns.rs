//! Routes turn commands from an entry to the state groups.
//!
//! A hash of a program's name selects its group, so that one log orders all commands on its budget and its chain. A chain
//! that began in a program of another group is fetched from there once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future::Either;
use futures::future::LocalBoxFuture;
use futures::future::join_all;
use futures::future::select;
use log::info;
use log::warn;
use smol::LocalExecutor;
use smol::Timer;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::cluster::suspect_watch::MAX_ACKNOWLEDGEMENT;
use crate::cluster::suspect_watch::MAX_WATCH;
use crate::cluster::suspect_watch::SuspectQuery;
use crate::cluster::suspect_watch::WatchRequest;
use crate::codec::decode;
use crate::codec::encode;
use crate::gateway::turn::TurnClient;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::ids::state_groups;
use crate::node::links::Links;
use crate::node::router::RequestTimeouts;
use crate::node::router::Router;
use crate::node::service::Submission;
use crate::ports::GroupError;
use crate::suspects::Fingerprint;
use crate::suspects::SuspectView;
use crate::suspects::record::Digest;
use crate::suspects::record::SuspectCommand;
use crate::turns::command::Begin;
use crate::turns::command::BeginQuery;
use crate::turns::command::Take;
use crate::turns::command::TransferredTurn;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnId;
use crate::turns::command::TurnReply;

/// How often a command checks whether control has announced the state groups, soon after an entry starts.
const GROUPS_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time without an answer to a question for suspects.
const WATCH_TIMEOUT: Duration = MAX_WATCH.saturating_add(Duration::from_secs(2));
/// The same for a question to announce them.
const ANNOUNCE_TIMEOUT: Duration = MAX_ACKNOWLEDGEMENT.saturating_mul(4);
/// Questions without an answer after which all holders are asked in turn.
const MAX_WATCH_FAILURES: u32 = 3;
/// Delay after a question for suspects that was not answered.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Parameters of the routers of all groups.
pub(super) struct TurnRouterParts {
    pub(super) node: NodeId,
    pub(super) links: Rc<Links>,
    pub(super) clock: Clock,
    pub(super) timeouts: RequestTimeouts,
    /// Told of the suspects of all groups.
    pub(super) suspects: Rc<SuspectView>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
}

/// Sends commands to the state group of their program.
pub(super) struct TurnRouter {
    parts: TurnRouterParts,
    /// One router for each group, by ascending group ID; empty until the groups are known.
    routers: RefCell<Vec<Rc<Router>>>,
}

impl TurnRouter {
    pub(super) fn new(parts: TurnRouterParts) -> Rc<Self> {
        Rc::new(Self { parts, routers: RefCell::default() })
    }

    /// Updates the nodes that hold replicas of each group. The number of groups never changes once it is known.
    pub(super) fn set_holders(&self, groups: usize, holders: &BTreeMap<GroupId, Vec<NodeId>>) {
        let mut routers = self.routers.borrow_mut();
        if routers.is_empty() && groups > 0 {
            routers.extend(state_groups().take(groups).map(|group| Rc::new(self.router(group))));
            self.parts.suspects.set_groups(groups);
            for (group, router) in state_groups().zip(&*routers) {
                self.parts.executor.spawn(self.watch_suspects(group, router.clone())).detach();
            }
        }
        for (group, router) in state_groups().zip(&*routers) {
            // A list without holders of a group comes from a new control leader that has no reports from them yet.
            if let Some(holders) = holders.get(&group) {
                router.set_holders(holders);
            }
        }
    }

    fn router(&self, group: GroupId) -> Router {
        let TurnRouterParts { node, links, clock, timeouts, .. } = &self.parts;
        Router::new(group, *node, None, links.clone(), &[], Rc::new(*clock), *timeouts)
    }

    /// Keeps the view of suspects up to date with a group's, until the task is dropped.
    fn watch_suspects(&self, group: GroupId, router: Rc<Router>) -> impl Future<Output = ()> + use<> {
        let TurnRouterParts { node, clock, suspects, .. } = &self.parts;
        let (node, clock, suspects) = (*node, *clock, suspects.clone());
        async move {
            let (mut cursor, mut failures) = (0, 0_u32);
            loop {
                let watch = WatchRequest { node, version: suspects.version(group) };
                let request = encode(&SuspectQuery::Watch(watch));
                // Without other requests to the group, nothing else finds a leader that was replaced.
                let prefers_leader = failures < MAX_WATCH_FAILURES;
                let address = group.suspects();
                let answer =
                    router.ask_once(address, &request, WATCH_TIMEOUT, prefers_leader, &mut cursor).await;
                let digest = match answer {
                    Submission::Applied(digest) => decode::<Digest>(&digest)
                        .inspect_err(|error| {
                            warn!("Failed to read the suspects of group {}: {error}.", group.0);
                        })
                        .ok(),
                    _ => None,
                };
                if let Some(digest) = digest {
                    failures = 0;
                    suspects.apply(clock.now(), group, &digest);
                } else {
                    failures = failures.saturating_add(1);
                    Timer::after(WATCH_RETRY_DELAY).await;
                }
            }
        }
    }

    pub(super) async fn commit(&self, command: TurnCommand) -> Result<TurnReply, GroupError> {
        if let TurnCommand::Begin(begin) = command {
            return self.begin(begin, oneshot::channel().0).await;
        }
        let routers = self.wait_for_routers().await?;
        if let TurnCommand::Take(take) = &command {
            let account_group = group_index(&take.team, routers.len());
            return request(&routers[account_group], command).await;
        }
        let own_group = match &command {
            TurnCommand::Suspect(command) => fingerprint_group(command.fingerprint(), routers.len()),
            command => group_index(command.program(), routers.len()),
        };
        request(&routers[own_group], command).await
    }

    pub(super) async fn begin(
        &self,
        mut begin: Begin,
        early: oneshot::Sender<TurnReply>,
    ) -> Result<TurnReply, GroupError> {
        let routers = self.wait_for_routers().await?;
        let own_group = group_index(&begin.program, routers.len());
        if let Some(reply) = prepare(&mut begin, own_group, &routers).await? {
            return Ok(reply);
        }
        let first = request_begin(&routers[own_group], &begin, early).await?;
        let previous = begin.previous.clone().filter(|_| first == TurnReply::NoSuchTurn && routers.len() > 1);
        let Some(previous) = previous else {
            return Ok(first);
        };
        let others =
            routers.iter().enumerate().filter(|(index, _)| *index != own_group).map(|(_, router)| router);
        let carried = fetch_chain(others, &previous).await?;
        // The turns of another team are not copied.
        if carried.is_empty() || carried.iter().any(|turn| !turn.is_open_to(&begin.team)) {
            return Ok(first);
        }
        info!(
            "turn={} continues {previous}; fetched {} turns from another group.",
            begin.turn,
            carried.len()
        );
        request(&routers[own_group], TurnCommand::Begin(Begin { carried, ..begin })).await
    }

    /// Returns once the entries in touch with the group of a suspect know it, or after a short time.
    async fn announce(&self, fingerprint: Fingerprint) {
        let routers = self.routers.borrow().clone();
        let Some((group, router)) =
            state_groups().zip(&routers).nth(fingerprint_group(fingerprint, routers.len()))
        else {
            return;
        };
        let query = encode(&SuspectQuery::Announce);
        // Without an answer the entries learn of it as soon as they reach the group.
        router.ask_once(group.suspects(), &query, ANNOUNCE_TIMEOUT, true, &mut 0).await;
    }

    /// Waits until control has announced the state groups.
    async fn wait_for_routers(&self) -> Result<Vec<Rc<Router>>, GroupError> {
        let start = self.parts.clock.now();
        loop {
            let routers = self.routers.borrow().clone();
            if !routers.is_empty() {
                return Ok(routers);
            }
            if self.parts.clock.now().since(start) >= self.parts.timeouts.request {
                return Err(GroupError::NotProposed {
                    reason: "no state group is known".into(),
                    retry_after: None,
                });
            }
            Timer::after(GROUPS_POLL_INTERVAL).await;
        }
    }
}

/// Charges the team's account if another group holds it, and sets the group's share of the servers' slots. Returns a
/// reply if the turn may not begin.
async fn prepare(
    begin: &mut Begin,
    own_group: usize,
    routers: &[Rc<Router>],
) -> Result<Option<TurnReply>, GroupError> {
    let Some(params) = &mut begin.opening else {
        return Ok(None);
    };
    params.places = group_share(params.places, routers.len());
    params.capacity = params.capacity.map(|capacity| group_share(capacity, routers.len()));
    let account_group = group_index(&begin.team, routers.len());
    if !params.charge || account_group == own_group {
        return Ok(None);
    }
    params.charge = false;
    let take = TurnCommand::Take(Take {
        team: begin.team.clone(),
        program: Some(begin.program.clone()),
        begins: params.begins,
    });
    let reply = request(&routers[account_group], take).await?;
    Ok(Some(reply).filter(|reply| *reply != TurnReply::Taken))
}

/// The share of a service's slots that each group may assume. It is rounded up, so that a service with fewer slots than
/// there are groups still admits programs of each group.
pub(super) fn group_share(slots: u32, groups: usize) -> u32 {
    slots.div_ceil(u32::try_from(groups).unwrap_or(u32::MAX).max(1))
}

/// Index of the group that holds a program or a team's account. All nodes must compute the same.
pub(super) fn group_index(name: &str, groups: usize) -> usize {
    let hash = xxh3_64(name.as_bytes());
    usize::try_from(hash % groups.max(1) as u64).unwrap_or(0)
}

/// Index of the group that holds the record of a request. All nodes must compute the same.
fn fingerprint_group(fingerprint: Fingerprint, groups: usize) -> usize {
    usize::try_from(fingerprint.0 % groups.max(1) as u64).unwrap_or(0)
}

/// Sends a command. A full queue rejects new work at once, but not what becomes of a turn that runs or the loss of a server,
/// which must be recorded.
async fn request(router: &Router, command: TurnCommand) -> Result<TurnReply, GroupError> {
    let encoded = command.encode(Duration::ZERO);
    let reply = match command {
        TurnCommand::Finish(_)
        | TurnCommand::RecordEvents(_)
        | TurnCommand::Suspect(SuspectCommand::Lose(_) | SuspectCommand::Clear(_) | SuspectCommand::End(_)) => {
            router.submit(encoded).await?
        }
        _ => router.try_submit(encoded).await?,
    };
    decode(&reply).map_err(|error| GroupError::Unknown { reason: error.to_string().into() })
}

/// Sends a begin, and its early answer to `early` if the leader gives one.
async fn request_begin(
    router: &Router,
    begin: &Begin,
    early: oneshot::Sender<TurnReply>,
) -> Result<TurnReply, GroupError> {
    if early.is_canceled() {
        return request(router, TurnCommand::Begin(begin.clone())).await;
    }
    let encoded = TurnCommand::Begin(begin.clone()).encode(Duration::ZERO);
    let query = encode(&BeginQuery::from(begin));
    let (answer_sender, answer) = oneshot::channel::<Vec<u8>>();
    let committing = pin!(router.try_submit_early(encoded, &query, answer_sender));
    let reply = match select(committing, answer).await {
        Either::Left((reply, _)) => reply,
        Either::Right((answer, committing)) => {
            if let Some(reply) = answer.ok().and_then(|answer| decode(&answer).ok()) {
                // A caller that left has dropped the receiver.
                let _ = early.send(reply);
            } else {
                drop(early);
            }
            committing.await
        }
    };
    decode(&reply?).map_err(|error| GroupError::Unknown { reason: error.to_string().into() })
}

/// Fetches the chain of a turn from the group that holds it; empty if every group answers that it has none.
async fn fetch_chain<'a>(
    routers: impl Iterator<Item = &'a Rc<Router>>,
    last: &TurnId,
) -> Result<Vec<TransferredTurn>, GroupError> {
    let replies = join_all(routers.map(|router| request(router, TurnCommand::Chain(last.clone())))).await;
    let mut last_error = None;
    for reply in replies {
        match reply {
            Ok(TurnReply::Chain(chain)) if chain.is_empty() => {}
            Ok(TurnReply::Chain(chain)) => return Ok(chain),
            Ok(reply) => last_error = Some(GroupError::Unknown { reason: format!("{reply:?}").into() }),
            Err(error) => last_error = Some(error),
        }
    }
    last_error.map_or(Ok(Vec::new()), Err)
}

/// The gateway's client of the state groups.
pub(super) struct RoutedTurnClient(pub(super) Rc<TurnRouter>);

impl TurnClient for RoutedTurnClient {
    fn commit(&self, command: TurnCommand) -> LocalBoxFuture<'static, Result<TurnReply, GroupError>> {
        let router = self.0.clone();
        Box::pin(async move { router.commit(command).await })
    }

    fn announce(&self, fingerprint: Fingerprint) -> LocalBoxFuture<'static, ()> {
        let router = self.0.clone();
        Box::pin(async move { router.announce(fingerprint).await })
    }

    fn begin(
        &self,
        begin: Begin,
        early: oneshot::Sender<TurnReply>,
    ) -> LocalBoxFuture<'static, Result<TurnReply, GroupError>> {
        let router = self.0.clone();
        Box::pin(async move { router.begin(begin, early).await })
    }
}
