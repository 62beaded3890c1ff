//! The way of an entry to the state groups that hold the turns.
//!
//! A program belongs to one group by a hash of its name, so that one order of commands holds its budget and its chain. A
//! chain that began in a program of another group is fetched from there once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use futures::future::join_all;
use log::info;
use smol::Timer;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::codec::decode;
use crate::gateway::turn::TurnClient;
use crate::ids::GroupId;
use crate::ids::NodeId;
use crate::ids::state_groups;
use crate::node::links::Links;
use crate::node::router::RequestTimeouts;
use crate::node::router::Router;
use crate::ports::GroupError;
use crate::turns::command::Begin;
use crate::turns::command::Take;
use crate::turns::command::TransferredTurn;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnId;
use crate::turns::command::TurnReply;

/// Pause before it is looked again whether the state groups are known; an entry is told a moment after it starts.
const LOOK: Duration = Duration::from_millis(20);

/// What the routers of all groups are made of.
pub(super) struct RouteParts {
    pub(super) node: NodeId,
    pub(super) links: Rc<Links>,
    pub(super) clock: Clock,
    pub(super) timeouts: RequestTimeouts,
}

/// Hands commands to the state group of their program.
pub(super) struct TurnRoute {
    parts: RouteParts,
    /// One router for each group, in the order of their numbers; none before the groups are known.
    routers: RefCell<Vec<Rc<Router>>>,
}

impl TurnRoute {
    pub(super) fn new(parts: RouteParts) -> Rc<Self> {
        Rc::new(Self { parts, routers: RefCell::default() })
    }

    /// Takes in how many groups there are, which never changes, and who holds a replica of which.
    pub(super) fn set_holders(&self, groups: usize, holders: &BTreeMap<GroupId, Vec<NodeId>>) {
        let mut routers = self.routers.borrow_mut();
        if routers.is_empty() {
            routers.extend(state_groups().take(groups).map(|group| Rc::new(self.router(group))));
        }
        for (group, router) in state_groups().zip(&*routers) {
            // A list without holders of a group is of a control leader that has not heard from them yet.
            if let Some(holders) = holders.get(&group) {
                router.set_holders(holders);
            }
        }
    }

    fn router(&self, group: GroupId) -> Router {
        let RouteParts { node, links, clock, timeouts } = &self.parts;
        Router::new(group, *node, None, links.clone(), &[], *clock, *timeouts)
    }

    async fn commit(&self, command: TurnCommand) -> Result<TurnReply, GroupError> {
        let routers = self.known_groups().await?;
        if let TurnCommand::Take(take) = &command {
            let account = home(&take.team, routers.len());
            return ask(&routers[account], command).await;
        }
        let home = home(command.program(), routers.len());
        let TurnCommand::Begin(mut begin) = command else {
            return ask(&routers[home], command).await;
        };
        if let Some(reply) = prepare(&mut begin, home, &routers).await? {
            return Ok(reply);
        }
        let first = ask(&routers[home], TurnCommand::Begin(begin.clone())).await?;
        let previous = begin.previous.clone().filter(|_| first == TurnReply::NoSuchTurn && routers.len() > 1);
        let Some(previous) = previous else {
            return Ok(first);
        };
        let others = routers.iter().enumerate().filter(|(index, _)| *index != home).map(|(_, router)| router);
        let carried = fetch(others, &previous).await?;
        // What another team keeps is none of this one's, and does not even move.
        if carried.is_empty() || carried.iter().any(|turn| !turn.is_open_to(&begin.team)) {
            return Ok(first);
        }
        info!("turn={} goes on from {previous} of another group, {} turns.", begin.turn, carried.len());
        ask(&routers[home], TurnCommand::Begin(Begin { carried, ..begin })).await
    }

    /// The routers, once control has told how many groups there are.
    async fn known_groups(&self) -> Result<Vec<Rc<Router>>, GroupError> {
        let start = self.parts.clock.now();
        loop {
            let routers = self.routers.borrow().clone();
            if !routers.is_empty() {
                return Ok(routers);
            }
            if self.parts.clock.now().since(start) >= self.parts.timeouts.request {
                return Err(GroupError::NotProposed { reason: "no state group is known".into() });
            }
            Timer::after(LOOK).await;
        }
    }
}

/// Takes a turn's request from its team's account if another group keeps that, and tells this group its part of the servers;
/// the reply, if the turn may not begin.
async fn prepare(
    begin: &mut Begin,
    own: usize,
    routers: &[Rc<Router>],
) -> Result<Option<TurnReply>, GroupError> {
    let Some(opening) = &mut begin.opening else {
        return Ok(None);
    };
    opening.places = part(opening.places, routers.len());
    let account = home(&begin.team, routers.len());
    if !opening.charge || account == own {
        return Ok(None);
    }
    opening.charge = false;
    let take = TurnCommand::Take(Take {
        team: begin.team.clone(),
        program: Some(begin.program.clone()),
        begins: opening.begins,
    });
    let reply = ask(&routers[account], take).await?;
    Ok(Some(reply).filter(|reply| *reply != TurnReply::Taken))
}

/// The places of a service that one of so many groups may reckon with. A service with fewer places than there are groups is
/// no less open to the programs of each.
pub(super) fn part(places: u32, groups: usize) -> u32 {
    places.div_ceil(u32::try_from(groups).unwrap_or(u32::MAX).max(1))
}

/// The index of a program's group among this many. Every node must come to the same.
pub(super) fn home(program: &str, groups: usize) -> usize {
    let hash = xxh3_64(program.as_bytes());
    usize::try_from(hash % groups.max(1) as u64).unwrap_or(0)
}

/// Hands a command over. Who begins something new is refused at once where too much waits; what has run must be settled.
async fn ask(router: &Router, command: TurnCommand) -> Result<TurnReply, GroupError> {
    let coded = command.encode(Duration::ZERO);
    let reply = match command {
        TurnCommand::Begin(_) | TurnCommand::Chain(_) | TurnCommand::Take(_) => {
            router.try_submit(coded).await?
        }
        TurnCommand::Finish(_) => router.submit(coded).await?,
    };
    decode(&reply).map_err(|failure| GroupError::Unknown { reason: failure.to_string().into() })
}

/// The chain of a turn from whichever group keeps it; empty if all say that they don't.
async fn fetch<'a>(
    routers: impl Iterator<Item = &'a Rc<Router>>,
    last: &TurnId,
) -> Result<Vec<TransferredTurn>, GroupError> {
    let replies = join_all(routers.map(|router| ask(router, TurnCommand::Chain(last.clone())))).await;
    let mut missing = None;
    for reply in replies {
        match reply {
            Ok(TurnReply::Chain(chain)) if chain.is_empty() => {}
            Ok(TurnReply::Chain(chain)) => return Ok(chain),
            Ok(reply) => missing = Some(GroupError::Unknown { reason: format!("{reply:?}").into() }),
            Err(failure) => missing = Some(failure),
        }
    }
    missing.map_or(Ok(Vec::new()), Err)
}

/// The way of the gateway to the state groups.
pub(super) struct TurnPort(pub(super) Rc<TurnRoute>);

impl TurnClient for TurnPort {
    fn commit(&self, command: TurnCommand) -> LocalBoxFuture<'static, Result<TurnReply, GroupError>> {
        let route = self.0.clone();
        Box::pin(async move { route.commit(command).await })
    }
}
