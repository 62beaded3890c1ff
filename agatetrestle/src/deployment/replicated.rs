//! A process that holds the replica of one group: control and stores alike.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use smol::Timer;

use crate::agreement::StateMachine;
use crate::cluster::subscriber::Subscriber;
use crate::deployment::RunningRole;
use crate::node::group::Group;

/// Longest time that a planned stop waits for another leader.
const HAND_OVER: Duration = Duration::from_millis(1_500);

/// A replica that runs, and its reports to control.
pub(super) struct Replicated<M: StateMachine> {
    pub(super) group: Rc<Group<M>>,
    pub(super) subscriber: Rc<Subscriber>,
}

impl<M: StateMachine + 'static> RunningRole for Replicated<M> {
    fn subscriber(&self) -> &Rc<Subscriber> {
        &self.subscriber
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(transfer_leadership(&self.group))
    }
}

/// Hands leadership over and waits until another replica leads.
async fn transfer_leadership<M: StateMachine + 'static>(group: &Group<M>) {
    const POLL: Duration = Duration::from_millis(20);
    if !group.leads() {
        return;
    }
    group.transfer_leadership();
    let mut waited = Duration::ZERO;
    while group.leader().is_some_and(|leader| group.is_local(leader)) && waited < HAND_OVER {
        Timer::after(POLL).await;
        waited += POLL;
    }
}
