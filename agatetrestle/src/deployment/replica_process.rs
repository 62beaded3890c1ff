//! A process that runs a replica of one group: a control replica or a store.

use std::rc::Rc;
use std::time::Duration;

use futures::future::LocalBoxFuture;
use smol::Timer;

use crate::agreement::StateMachine;
use crate::cluster::subscriber::Subscriber;
use crate::deployment::RunningRole;
use crate::node::group::Group;

/// Longest time that a graceful stop waits for another leader.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A running replica and its reports to control.
pub(super) struct ReplicaProcess<M: StateMachine> {
    pub(super) group: Rc<Group<M>>,
    pub(super) subscriber: Rc<Subscriber>,
}

impl<M: StateMachine + 'static> RunningRole for ReplicaProcess<M> {
    fn subscriber(&self) -> &Rc<Subscriber> {
        &self.subscriber
    }

    fn stop(&self) -> LocalBoxFuture<'_, ()> {
        Box::pin(transfer_leadership(&self.group))
    }
}

/// Transfers leadership and waits until another replica leads.
async fn transfer_leadership<M: StateMachine + 'static>(group: &Group<M>) {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    if !group.leads() {
        return;
    }
    group.transfer_leadership();
    let mut waited = Duration::ZERO;
    while group.leader().is_some_and(|leader| group.is_local(leader)) && waited < LEADERSHIP_TRANSFER_TIMEOUT
    {
        Timer::after(POLL_INTERVAL).await;
        waited += POLL_INTERVAL;
    }
}
