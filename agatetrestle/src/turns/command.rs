//! Commands about turns and their replies.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::codec::Blob;
use crate::codec::decode;
use crate::codec::encode;

/// Name of a turn: the attempt of a caller that it was the answer to.
pub type TurnId = Arc<str>;

/// A change to the turns of one program.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TurnCommand {
    /// Reserve the tokens of a turn and tell what it goes on from. Handing it over again changes nothing.
    Begin(Begin),
    /// Settle a turn that ended, whole or not. Handing it over again changes nothing.
    Finish(Finish),
    /// Tell a turn and everything that it goes on from, for a program of another group. It changes nothing; as a command it
    /// is answered only by a group that knows all that was acknowledged.
    Chain(TurnId),
    /// Take one request from the account of a team. The leader answers it alone; it never enters the log.
    Take(Take),
}

/// What [`TurnCommand::Take`] says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Take {
    /// The team.
    pub team: Arc<str>,
    /// The program that the request is a part of, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<Arc<str>>,
    /// Whether a program begins with the request.
    pub begins: bool,
}

/// What the leader weighs before a turn begins, beside the state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionParams {
    /// The service that the turn goes to.
    pub service: Arc<str>,
    /// The route that it comes on.
    pub route: Arc<str>,
    /// Requests that the service's servers run at once, as this group's part of them.
    pub places: u32,
    /// Whether the request is yet to be taken from its team's account.
    pub charge: bool,
    /// Milliseconds for which the caller waits.
    pub patience: u64,
    /// Milliseconds left until the program should be finished; none where it does not say.
    pub finish_in: Option<u64>,
    /// Whether its entry takes it for the first of its program; the leader of the program's group knows better.
    pub begins: bool,
}

/// Bytes in front of a coded command: milliseconds that passed on the leader since the command before, then the
/// length of the coded part that the text follows.
const HEAD_BYTES: usize = 4 + 4;

/// A command with the time that it brings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimedCommand {
    /// Time that passed on the leader since its command before.
    pub elapsed: Duration,
    /// The command.
    pub command: TurnCommand,
}

impl TurnCommand {
    /// Codes a command. The text stands at the very end, so that the state can go on using the bytes that the log
    /// holds anyway instead of a copy; see docs/incidents/003-stores-over-their-memory.md.
    #[must_use]
    pub fn encode(&self, elapsed: Duration) -> Vec<u8> {
        let coded = encode(self);
        let text = self.text();
        let mut buf = Vec::with_capacity(HEAD_BYTES + coded.len() + text.len());
        buf.extend_from_slice(&millis(elapsed).to_le_bytes());
        buf.extend_from_slice(&u32::try_from(coded.len()).unwrap_or(u32::MAX).to_le_bytes());
        buf.extend_from_slice(&coded);
        buf.extend_from_slice(text);
        buf
    }

    /// The program that it is about; none for a question about a turn of any.
    #[must_use]
    pub fn program(&self) -> &str {
        match self {
            Self::Begin(begin) => &begin.program,
            Self::Finish(finish) => &finish.program,
            Self::Chain(_) | Self::Take(_) => "",
        }
    }

    fn text(&self) -> &[u8] {
        match self {
            Self::Finish(Finish { kept: Some(kept), .. }) => &kept.text,
            _ => &[],
        }
    }
}

impl TimedCommand {
    /// Writes the time into a coded command; bytes that are no command stay as they are.
    pub fn set_elapsed(coded: &mut [u8], elapsed: Duration) {
        if let Some(head) = coded.first_chunk_mut() {
            *head = millis(elapsed).to_le_bytes();
        }
    }

    /// Reads what [`TurnCommand::encode`] wrote; none where it is something else.
    #[must_use]
    pub fn decode(payload: &Arc<[u8]>) -> Option<Self> {
        let (elapsed, rest) = payload.split_first_chunk()?;
        let (length, rest) = rest.split_first_chunk()?;
        let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
        let (coded, _) = rest.split_at_checked(length)?;
        let mut command = decode(coded).ok()?;
        if let TurnCommand::Finish(Finish { kept: Some(kept), .. }) = &mut command {
            kept.text = Blob::tail(payload, HEAD_BYTES + length);
        }
        Some(Self { elapsed: Duration::from_millis(u32::from_le_bytes(*elapsed).into()), command })
    }
}

/// Whole milliseconds, at most those that the head of a command holds.
fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// What [`TurnCommand::Begin`] says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Begin {
    /// The program.
    pub program: Arc<str>,
    /// The team whose program it is; empty where none is declared, as in files and messages before there were teams.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub team: Arc<str>,
    /// The turn that begins.
    pub turn: TurnId,
    /// Tokens that all turns of the program may generate; none where the program has no budget.
    pub budget: Option<u64>,
    /// Most tokens that this turn generates.
    pub most: u64,
    /// The turn that it goes on from.
    pub previous: Option<TurnId>,
    /// That turn and all before it, oldest first, where another group keeps them: programs may go on from turns of programs
    /// that are kept elsewhere, and from then on this group keeps them too.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub carried: Vec<TransferredTurn>,
    /// What the leader weighs; none from entries that know of no such thing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub opening: Option<AdmissionParams>,
}

/// A turn on its way from the group that keeps it to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TransferredTurn {
    /// The turn.
    pub name: TurnId,
    /// What the caller sent, and what was generated.
    pub text: Blob,
    /// For how many more milliseconds it is kept.
    pub retention: u64,
    /// The team whose turn it is.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub team: Arc<str>,
}

impl TransferredTurn {
    /// Whether a team may go on from it; a turn of no team was sent when nobody needed a key.
    #[must_use]
    pub fn is_open_to(&self, team: &str) -> bool {
        self.team.is_empty() || &*self.team == team
    }
}

/// What [`TurnCommand::Finish`] says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finish {
    /// The program.
    pub program: Arc<str>,
    /// The team whose program it is.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub team: Arc<str>,
    /// The turn that ended.
    pub turn: TurnId,
    /// Tokens that were handed to the caller.
    pub spent: u64,
    /// Milliseconds that it took at a server; none where no server ran it whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<u64>,
    /// What is kept, for a turn that ended whole on a route that keeps turns.
    pub kept: Option<RetainedTurn>,
}

/// A turn that others may go on from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RetainedTurn {
    /// The turn that it went on from.
    pub previous: Option<TurnId>,
    /// What the caller sent, and what was generated. It stands behind the command, see [`TurnCommand::encode`].
    #[serde(skip)]
    pub text: Blob,
    /// For how many milliseconds it is kept.
    pub retention: u64,
}

/// Reply to a command about turns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TurnReply {
    /// The turn may run; everything that it goes on from, oldest first.
    Begun {
        /// One text for each earlier turn.
        chain: Vec<Blob>,
    },
    /// The budget does not hold the turn, which must not run.
    Spent,
    /// There is no such previous turn.
    NoSuchTurn,
    /// A turn and all before it, oldest first; empty if there is no such turn here.
    Chain(Vec<TransferredTurn>),
    /// The turn is settled.
    Settled,
    /// The state has no room for more turns; nothing was changed.
    Full,
    /// The request is taken from its team's account.
    Taken,
    /// The team has sent as much as it may; nothing was changed. There is room after so many milliseconds.
    Over(u64),
    /// The leader has not been told of the team; nothing was changed.
    UnknownTeam,
    /// No program may begin now; nothing was changed. It is worth coming back after so many milliseconds.
    Crowded(u64),
    /// The command could not be read.
    Refused,
}
