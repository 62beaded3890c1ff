//! Commands of the ledger and their replies.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::AttemptId;
use crate::ids::CallNumber;
use crate::ids::ProgramId;
use crate::ids::RequestKey;

/// What a program is, as told when it was opened.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgramSpec {
    /// Team within the partner.
    pub team: Arc<str>,
    /// Declared class.
    pub class: Arc<str>,
    /// Tokens the program may spend, its sub-agents included.
    pub budget: u64,
    /// Most calls the program may make.
    pub turns: u32,
    /// The program that this one is a sub-agent of; its budget is carved out of the parent's.
    pub parent: Option<ProgramId>,
}

/// Whether a call may be sent more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Repeatable {
    /// Sending it twice is harmless.
    Yes,
    /// It is sent at most once.
    No,
}

/// The stored answer of a call, whole, so that any node can give it again.
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
    /// Create the program; a resend with the same key and spec is answered as the first.
    Open {
        /// The program.
        program: ProgramId,
        /// Key of the request that opens it.
        key: RequestKey,
        /// What it is.
        spec: ProgramSpec,
        /// Wall-clock milliseconds since 1970 on the proposing node, for listings only.
        at: u64,
    },
    /// Begin the next call and reserve the most it can cost.
    Begin {
        /// The program.
        program: ProgramId,
        /// Must be the next number.
        call: CallNumber,
        /// Key of the caller's request.
        key: RequestKey,
        /// Who begins it.
        attempt: AttemptId,
        /// Tokens reserved.
        reserve: u64,
        /// Whether it may be sent again.
        repeatable: Repeatable,
        /// The request, which is part of the history.
        request: Arc<[u8]>,
        /// Digest of the request, so that a key reused for another request is refused.
        digest: u64,
    },
    /// Take over a repeatable call that another node began and left open.
    TakeOver {
        /// The program.
        program: ProgramId,
        /// The open call.
        call: CallNumber,
        /// The attempt that is replaced; refused if it is not the current one.
        previous: AttemptId,
        /// The new attempt.
        attempt: AttemptId,
    },
    /// Store the answer and settle the reservation.
    Finish {
        /// The program.
        program: ProgramId,
        /// The open call.
        call: CallNumber,
        /// The attempt that has the answer.
        attempt: AttemptId,
        /// The answer.
        answer: Answer,
        /// Tokens spent, at most the reservation.
        spent: u64,
    },
    /// The call was not sent; its number and reservation are free again.
    NotRun {
        /// The program.
        program: ProgramId,
        /// The open call.
        call: CallNumber,
        /// Only the attempt that began the call may say so.
        attempt: AttemptId,
    },
    /// Nobody can tell whether the call ran; it is never sent again.
    Unknown {
        /// The program.
        program: ProgramId,
        /// The open call.
        call: CallNumber,
        /// The attempt in doubt.
        attempt: AttemptId,
    },
    /// An operator found out what became of an unknown call.
    Resolve {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallNumber,
        /// Whether it ran.
        ran: bool,
        /// What the operator wrote.
        note: Arc<str>,
    },
    /// No more calls; what is left of a sub-agent's budget goes back to its parent.
    End {
        /// The program.
        program: ProgramId,
    },
}

impl ProgramCommand {
    /// The program that the command changes.
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
    /// Begun and not settled.
    Open,
    /// Has a stored answer.
    Finished,
    /// Nobody can tell whether it ran.
    Unknown,
}

/// What the ledger says of a program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgramView {
    /// The program.
    pub program: ProgramId,
    /// What it is.
    pub spec: ProgramSpec,
    /// The number that the next call must have.
    pub next_call: CallNumber,
    /// Tokens spent, settled sub-agents included.
    pub spent: u64,
    /// Tokens reserved by the open call and by open sub-agents.
    pub reserved: u64,
    /// Whether the program has ended.
    pub ended: bool,
    /// The last call, if any.
    pub last: Option<(CallNumber, CallState, AttemptId, Repeatable)>,
    /// Wall-clock milliseconds since 1970 at which it was opened, by the proposer's clock.
    pub opened_at: u64,
}

/// Reply to a command or query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgramReply {
    /// Done; the program as it is now.
    Done(ProgramView),
    /// The request was begun earlier; this is its stored answer.
    Stored(Answer),
    /// The request was begun earlier by this attempt and is still open.
    InProgress(AttemptId),
    /// The request was begun earlier and nobody can tell whether it ran.
    InDoubt(AttemptId),
    /// Nothing was changed.
    Refused(Refusal),
}

/// Why the ledger changed nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// There is no such program.
    NoProgram,
    /// A program of this name exists with another spec or key.
    Exists,
    /// The program has ended.
    Ended,
    /// Calls must come in order; this number is next.
    OutOfOrder {
        /// The number that is next.
        next: CallNumber,
    },
    /// An earlier call is still open or in doubt.
    CallOpen {
        /// That call.
        call: CallNumber,
    },
    /// The reservation does not fit.
    Budget {
        /// Tokens that are left.
        left: u64,
    },
    /// The program has made as many calls as it may.
    Turns,
    /// The key was used for another request.
    KeyReused,
    /// Another attempt holds the call.
    NotYourAttempt,
    /// The call is not in a state that allows this.
    WrongState,
    /// Sub-agents are still live.
    Children,
    /// The stored answer is there but can't be read on this replica.
    HistoryUnreadable,
}

/// A question about programs that changes nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgramQuery {
    /// One program.
    Program(ProgramId),
    /// What became of the request with this key.
    Request(ProgramId, RequestKey),
    /// Programs of a partner, newest first, at most so many.
    List(Arc<str>, u32),
}

/// Reply to a query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QueryReply {
    /// The answer about one program or request.
    One(ProgramReply),
    /// A list of programs.
    Many(Vec<ProgramView>),
}

/// What is sent to a state group: a command through its log, or a query to its leader.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ProgramRequest {
    /// Through the log.
    Command(ProgramCommand),
    /// By the leader's lease.
    Query(ProgramQuery),
}
