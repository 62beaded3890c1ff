//! Records the events of turns that callers may resume.
//!
//! An event is handed out only once its state group holds it, so that whichever entry completes the turn retains what the caller has
//! received from others; see docs/design/025-software-versions-of-streams.md.

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use smol::Timer;

use crate::codec::Blob;
use crate::gateway::Gateway;
use crate::gateway::context::RequestContext;
use crate::gateway::event_splitter::RawEvent;
use crate::gateway::resumption::is_resumable;
use crate::gateway::turn::TurnClient;
use crate::turns::command::TurnCommand;
use crate::turns::command::TurnId;
use crate::turns::command::TurnReply;
use crate::turns::relayed::RecordEvents;
use crate::turns::relayed::RelayedEvent;

/// Pause before events are recorded again that the group did not confirm.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Events of one attempt on their way to its caller.
pub(super) struct EventRecorder {
    turns: Rc<dyn TurnClient>,
    program: Arc<str>,
    turn: TurnId,
    root: TurnId,
    /// Number of events that are recorded.
    position: usize,
    /// Events that are not recorded yet.
    pending: Vec<RelayedEvent>,
    /// ID of the newest event.
    last_id: Arc<str>,
    /// Events that may be handed out, once none is pending.
    ready: VecDeque<RawEvent>,
}

impl EventRecorder {
    /// A recorder, if the caller of the turn may resume it.
    pub(super) fn new(gateway: &Gateway, ctx: &RequestContext) -> Option<Self> {
        if !is_resumable(&ctx.route) {
            return None;
        }
        let received = ctx.received.as_ref();
        let pending = received
            .map(|received| RelayedEvent { id: received.last_event.clone(), text: received.text.clone() });
        Some(Self {
            turns: gateway.turns.clone(),
            program: ctx.metadata.program.clone()?,
            turn: ctx.attempt_id.clone(),
            root: received.map_or(&ctx.attempt_id, |received| &received.root).clone(),
            position: 0,
            last_id: pending.as_ref().map(|event| event.id.clone()).unwrap_or_default(),
            pending: pending.into_iter().collect(),
            ready: VecDeque::new(),
        })
    }

    /// Adds an event with the text that the turn retains of it.
    pub(super) fn push(&mut self, event: RawEvent, text: &[u8]) {
        if let Some(id) = event.id() {
            self.last_id = id;
        }
        self.pending.push(RelayedEvent { id: self.last_id.clone(), text: Blob::from(text) });
        self.ready.push_back(event);
    }

    /// Whether no event is left to be handed out.
    pub(super) fn is_empty(&self) -> bool {
        self.ready.is_empty()
    }

    /// Returns the next event once it is recorded; `None` if there is none. Events that arrive meanwhile are recorded together.
    ///
    /// # Errors
    ///
    /// The reply of a group that does not hold them.
    pub(super) async fn next(&mut self) -> Result<Option<RawEvent>, TurnReply> {
        if self.ready.is_empty() {
            return Ok(None);
        }
        if !self.pending.is_empty() {
            self.record().await?;
        }
        Ok(self.ready.pop_front())
    }

    async fn record(&mut self) -> Result<(), TurnReply> {
        let command = TurnCommand::RecordEvents(RecordEvents {
            program: self.program.clone(),
            turn: self.turn.clone(),
            root: self.root.clone(),
            position: self.position,
            events: self.pending.clone(),
        });
        let reply = loop {
            match self.turns.commit(command.clone()).await {
                Ok(reply) => break reply,
                Err(error) => warn!("turn={} has events that are not recorded yet: {error}.", self.turn),
            }
            Timer::after(RETRY_DELAY).await;
        };
        if reply != TurnReply::Recorded {
            return Err(reply);
        }
        self.position += self.pending.len();
        self.pending.clear();
        Ok(())
    }
}
