//! Commands and queries of the ledger with their replies.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptId;
use crate::ids::CallNumber;
use crate::ids::ProgramId;
use crate::ids::RequestKey;

/// Parameters of a program, fixed when it is opened.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgramSpec {
    /// Team within the partner.
    pub team: Arc<str>,
    /// Declared class.
    pub class: Arc<str>,
    /// Tokens the program may spend, its sub-agents included.
    pub budget: u64,
    /// Limit on the calls of the program.
    pub turns: u32,
    /// The parent of a sub-agent, whose budget is reserved from the parent's.
    pub parent: Option<ProgramId>,
}

/// Whether a call may be sent more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeatable {
    /// The call is idempotent.
    Yes,
    /// The call must be sent at most once.
    No,
}

/// A complete answer, as it is stored to answer resends on any node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Arc<[u8]>,
}

/// A change to one program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgramCommand {
    /// Creates a program. A resend with the same key and spec gets the same reply.
    Open {
        /// The program.
        program: ProgramId,
        /// Key of the opening request.
        key: RequestKey,
        /// Parameters of the program.
        spec: ProgramSpec,
        /// Wall-clock milliseconds since 1970 on the proposing node, for listings only.
        at: u64,
    },
    /// Begins the next call and reserves its maximum cost.
    Begin {
        /// The program.
        program: ProgramId,
        /// The number of the call, which must be the next one.
        call: CallNumber,
        /// Key of the caller's request.
        key: RequestKey,
        /// The attempt that begins the call.
        attempt: AttemptId,
        /// Tokens to reserve.
        reserve: u64,
        /// Whether the call may be sent more than once.
        repeatable: Repeatable,
        /// The request, which is appended to the history.
        request: Arc<[u8]>,
        /// Digest of the request, so that a key reused for another request is refused.
        digest: u64,
    },
    /// Replaces the attempt of an open repeatable call.
    TakeOver {
        /// The program.
        program: ProgramId,
        /// The open call.
        call: CallNumber,
        /// The attempt to replace, which must be the current one.
        previous: AttemptId,
        /// The new attempt.
        attempt: AttemptId,
    },
    /// Stores the answer and settles the reservation.
    Finish {
        /// The program.
        program: ProgramId,
        /// The open call.
        call: CallNumber,
        /// The attempt that got the answer.
        attempt: AttemptId,
        /// The answer.
        answer: Answer,
        /// Tokens spent; at most the reservation is charged.
        spent: u64,
    },
    /// Releases the number and reservation of a call that was not sent.
    NotRun {
        /// The program.
        program: ProgramId,
        /// The open call.
        call: CallNumber,
        /// The attempt of the call, which must be the current one.
        attempt: AttemptId,
    },
    /// Marks that it is unknown whether the call ran; only a repeatable call may be begun again.
    Unknown {
        /// The program.
        program: ProgramId,
        /// The open call.
        call: CallNumber,
        /// The attempt with the unknown outcome.
        attempt: AttemptId,
        /// Servers that ended under the attempt.
        #[serde(default)]
        lost_servers: u32,
    },
    /// Records an operator's finding about a call with an unknown outcome.
    Resolve {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallNumber,
        /// Whether the call ran.
        ran: bool,
        /// The operator's note.
        note: Arc<str>,
    },
    /// Ends a program; the unspent budget of a sub-agent returns to its parent.
    End {
        /// The program.
        program: ProgramId,
    },
}

impl ProgramCommand {
    /// The program to which the command applies.
    #[must_use]
    pub fn program(&self) -> &ProgramId {
        match self {
            Self::Open { program, .. }
            | Self::Begin { program, .. }
            | Self::TakeOver { program, .. }
            | Self::Finish { program, .. }
            | Self::NotRun { program, .. }
            | Self::Unknown { program, .. }
            | Self::Resolve { program, .. }
            | Self::End { program } => program,
        }
    }
}

/// State of a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallState {
    /// The call is begun and not settled.
    Open,
    /// The call has a stored answer.
    Finished,
    /// It is unknown whether the call ran.
    Unknown,
}

/// Summary of a program's state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgramView {
    /// The program.
    pub program: ProgramId,
    /// Parameters of the program.
    pub spec: ProgramSpec,
    /// Number of the next call.
    pub next_call: CallNumber,
    /// Tokens spent, ended sub-agents included.
    pub spent: u64,
    /// Tokens reserved by the open call and by open sub-agents.
    pub reserved: u64,
    /// Whether the program has ended.
    pub ended: bool,
    /// The last call, if any.
    pub last: Option<(CallNumber, CallState, AttemptId, Repeatable)>,
    /// Opening time in wall-clock milliseconds since 1970, by the proposing node's clock.
    pub opened_at: u64,
    /// Servers that have ended under the last call, and under earlier ones with the same content.
    #[serde(default)]
    pub lost_servers: u32,
}

/// Reply to a command or query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgramReply {
    /// The command was applied; the program after it.
    Done(ProgramView),
    /// A request with this key has this stored answer.
    Stored(Answer),
    /// A request with this key is open for this attempt.
    InProgress(AttemptId),
    /// A request with this key was begun by this attempt, and it is unknown whether it ran.
    InDoubt(AttemptId),
    /// The command was refused and nothing changed.
    Refused(Refusal),
}

/// Why the ledger refused a command or query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The program does not exist.
    NoProgram,
    /// The program exists with a different spec or key.
    Exists,
    /// The program has ended.
    Ended,
    /// The call does not have the next number.
    OutOfOrder {
        /// The next number.
        next: CallNumber,
    },
    /// An earlier call is still open.
    CallOpen {
        /// The open call.
        call: CallNumber,
    },
    /// The reservation exceeds the budget.
    Budget {
        /// Tokens left in the budget.
        left: u64,
    },
    /// The program has reached its limit on calls.
    Turns,
    /// Too many servers have ended under calls with the same content.
    ServersLost,
    /// The key was used for another request.
    KeyReused,
    /// The attempt is not the current one of the call, or has released it.
    NotYourAttempt,
    /// The state of the call does not allow the command.
    WrongState,
    /// Sub-agents have not ended.
    Children,
    /// This replica can't read the stored answer.
    HistoryUnreadable,
}

/// A read-only query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgramQuery {
    /// Returns one program.
    Program(ProgramId),
    /// Returns the state of the request with this key.
    Request(ProgramId, RequestKey),
    /// Lists at most this many programs of a partner, newest first.
    List(Arc<str>, u32),
}

/// Reply to a query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QueryReply {
    /// The reply about one program or request.
    One(ProgramReply),
    /// The listed programs.
    Many(Vec<ProgramView>),
}

/// A request to a state group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgramRequest {
    /// A command, which is committed through the log.
    Command(ProgramCommand),
    /// A query, which the leader answers under its lease.
    Query(ProgramQuery),
}
