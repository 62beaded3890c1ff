//! Commands about turns and their replies.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::codec::Blob;
use crate::codec::append;
use crate::codec::decode;
use crate::codec::encode_with_capacity;
use crate::ids::NodeId;
use crate::suspects::Fingerprint;
use crate::suspects::record::SuspectCommand;
use crate::suspects::record::SuspectDecision;
use crate::turns::relayed::ReadEvents;
use crate::turns::relayed::ReceivedEvents;
use crate::turns::relayed::RecordEvents;
use crate::turns::streams::StreamOrigin;
use crate::turns::streams::StreamStart;

/// Identifier of a turn: the caller's attempt that it answers.
pub type TurnId = Arc<str>;

/// A command to the state group that holds a program's turns.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TurnCommand {
    /// Reserves the tokens of a turn and returns the turns it continues. Idempotent.
    Begin(Begin),
    /// Settles a turn that ended, completed or not. Idempotent.
    Finish(Finish),
    /// Reads a turn and its ancestors for a program of another group. It goes through the log so that the reply reflects
    /// every acknowledged write.
    Chain(TurnId),
    /// Takes one request from a team's rate limit. The leader answers it without appending it to the log.
    Take(Take),
    /// Records where a stream begins that reserves no turn, or whose first server did not run it. Idempotent.
    RecordStream(RecordStream),
    /// Reads where a stream began. The leader answers it without appending it to the log, once a quorum has confirmed that it
    /// leads, so that the reply reflects every acknowledged write.
    ReadStream(ReadStream),
    /// Records events of a turn that its caller may resume, before the caller gets them. Idempotent.
    RecordEvents(RecordEvents),
    /// Reads the events that the caller of an unfinished turn has received. It is answered as [`TurnCommand::ReadStream`] is.
    ReadEvents(ReadEvents),
    /// Reports or asks about a request under which servers ended. The group is selected by the request's fingerprint.
    Suspect(SuspectCommand),
}

/// Payload of [`TurnCommand::RecordStream`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordStream {
    /// The program that the stream belongs to; see [`ReadStream::program`].
    pub program: Arc<str>,
    /// The attempt that begins it.
    pub turn: TurnId,
    /// Where it begins.
    pub start: StreamStart,
}

/// Payload of [`TurnCommand::ReadStream`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReadStream {
    /// The program that the stream belongs to, or the attempt that began it if it belongs to none. It selects the group.
    pub program: Arc<str>,
    /// The attempt that brought its first event; empty if its caller names none.
    pub turn: TurnId,
    /// The request, if its caller names no attempt: the origin is read that all attempts at it have in common.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Fingerprint>,
}

/// Payload of [`TurnCommand::Take`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Take {
    /// The team whose rate limit is charged.
    pub team: Arc<str>,
    /// The program that the request belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub program: Option<Arc<str>>,
    /// Whether the request is the first of its program.
    pub begins: bool,
}

/// Inputs for the leader's admission check of a turn that are not in the replicated state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionParams {
    /// The service that the turn is sent to.
    pub service: Arc<str>,
    /// The route that the request arrived on.
    pub route: Arc<str>,
    /// This group's part of the requests that the service's servers run concurrently.
    pub places: u32,
    /// Whether the request still has to be charged to its team's rate limit.
    pub charge: bool,
    /// Milliseconds that the caller waits for the answer.
    pub patience: u64,
    /// Milliseconds until the program's deadline; `None` without a deadline.
    pub finish_in: Option<u64>,
    /// Whether the entry considers it the first turn of its program. The leader decides by its own state.
    pub begins: bool,
    /// What the service's servers can do at present, in hundredths of slots; `None` from entries that do not estimate it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<u32>,
    /// Servers that may run the turn, the entry's own choice first, at most [`MAX_CANDIDATES`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Candidate>,
    /// Priority of the team, then of the route, 0 for the most urgent; 0 from entries that do not send it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub priority: u8,
    /// The entry that sends the command, if it names candidates; see [`crate::turns::placement`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<NodeId>,
    /// Whether the entry chose its server because the prompt is likely to be cached there.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cached: bool,
    /// The request that the turn is an attempt at, and the entry that sends it to a server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<RequestOrigin>,
}

/// Which request an attempt belongs to, so that the attempts of entries that have ended can be counted; see
/// docs/design/027-requests-that-end-servers.md.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestOrigin {
    /// The request.
    pub request: Fingerprint,
    /// The entry that sends the attempt to a server.
    pub entry: NodeId,
    /// Whether the entry has reported the interrupted attempts that the leader named.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reported: bool,
}

/// Servers that an entry names for a turn. More improve the choice little and lengthen each log entry.
pub const MAX_CANDIDATES: usize = 8;

/// A server that may run a turn.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidate {
    /// The server's identifier.
    pub server: Arc<str>,
    /// Microseconds that the entry expects the turn to take there without the load of other requests.
    pub expected_us: u32,
    /// Requests that the server runs concurrently; 0 if as many as the candidate before it.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub slots: u32,
}

fn is_zero<T: Default + PartialEq>(number: &T) -> bool {
    *number == T::default()
}

/// Header of an encoded command: milliseconds since the leader's previous command, then the length of the encoded part that
/// precedes the text.
const COMMAND_HEADER_BYTES: usize = 4 + 4;

/// Enough for most encoded commands without texts, so that the buffer need not grow.
const COMMAND_BYTES: usize = 1_024;
/// The same for replies.
const REPLY_BYTES: usize = 64;
/// The same for a turn within a reply or a command, besides its text and its names.
const TURN_BYTES: usize = 64;

/// A command with the time that elapsed before it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TimedCommand {
    /// Time on the leader since its previous command.
    pub elapsed: Duration,
    /// The command to execute after the time has advanced.
    pub command: TurnCommand,
}

impl TurnCommand {
    /// Encodes a command. The text comes last, so that the state can refer to the log's bytes instead of copying them; see
    /// docs/incidents/003-stores-over-their-memory.md.
    #[must_use]
    pub fn encode(&self, elapsed: Duration) -> Vec<u8> {
        let text = self.text();
        let capacity = COMMAND_HEADER_BYTES + COMMAND_BYTES + self.carried_bytes() + text.len();
        let mut buf = Vec::with_capacity(capacity);
        buf.extend_from_slice(&millis(elapsed).to_le_bytes());
        let length_field = buf.len()..COMMAND_HEADER_BYTES;
        buf.resize(COMMAND_HEADER_BYTES, 0);
        append(&mut buf, self);
        let length = u32::try_from(buf.len() - COMMAND_HEADER_BYTES).unwrap_or(u32::MAX);
        buf[length_field].copy_from_slice(&length.to_le_bytes());
        buf.extend_from_slice(text);
        buf
    }

    /// The program of a turn or stream; empty for other commands.
    #[must_use]
    pub fn program(&self) -> &str {
        match self {
            Self::Begin(begin) => &begin.program,
            Self::Finish(finish) => &finish.program,
            Self::RecordStream(record) => &record.program,
            Self::ReadStream(read) => &read.program,
            Self::RecordEvents(record) => &record.program,
            Self::ReadEvents(read) => &read.program,
            Self::Chain(_) | Self::Take(_) | Self::Suspect(_) => "",
        }
    }

    /// The command as it is appended to the log: without the candidates, which only the leader that decides needs. `None` if it
    /// names none.
    #[must_use]
    pub fn without_candidates(&self) -> Option<Self> {
        let Self::Begin(begin) = self else {
            return None;
        };
        let opening = begin.opening.as_ref().filter(|opening| !opening.candidates.is_empty())?;
        let opening =
            AdmissionParams { candidates: Vec::new(), entry: None, cached: false, ..opening.clone() };
        Some(Self::Begin(Begin { opening: Some(opening), ..begin.clone() }))
    }

    /// Encoded size of the turns of another group.
    fn carried_bytes(&self) -> usize {
        match self {
            Self::Begin(begin) => begin.carried.iter().map(TransferredTurn::encoded_bytes).sum(),
            _ => 0,
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
    /// Writes the elapsed time into an encoded command. Bytes too short to be a command are left unchanged.
    pub fn set_elapsed(encoded: &mut [u8], elapsed: Duration) {
        if let Some(field) = encoded.first_chunk_mut() {
            *field = millis(elapsed).to_le_bytes();
        }
    }

    /// The part of an encoded command that is the same each time it is sent.
    #[must_use]
    pub fn without_elapsed(encoded: &[u8]) -> &[u8] {
        encoded.split_first_chunk::<4>().map_or(&[], |(_, rest)| rest)
    }

    /// Decodes the output of [`TurnCommand::encode`]; `None` if the bytes are malformed.
    #[must_use]
    pub fn decode(payload: &Arc<[u8]>) -> Option<Self> {
        let (elapsed, rest) = payload.split_first_chunk()?;
        let (length, rest) = rest.split_first_chunk()?;
        let length = usize::try_from(u32::from_le_bytes(*length)).ok()?;
        let (encoded, _) = rest.split_at_checked(length)?;
        let mut command = decode(encoded).ok()?;
        if let TurnCommand::Finish(Finish { kept: Some(kept), .. }) = &mut command {
            kept.text = Blob::tail(payload, COMMAND_HEADER_BYTES + length);
        }
        Some(Self { elapsed: Duration::from_millis(u32::from_le_bytes(*elapsed).into()), command })
    }
}

/// Whole milliseconds, saturating at what the header of a command can hold.
fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Payload of [`TurnCommand::Begin`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Begin {
    /// The program that the turn belongs to.
    pub program: Arc<str>,
    /// The team that owns the program; empty if none is declared, as in data written without teams.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub team: Arc<str>,
    /// The turn that begins.
    pub turn: TurnId,
    /// Tokens that all turns of the program may generate together; `None` without a budget.
    pub budget: Option<u64>,
    /// Maximum of tokens that this turn generates.
    pub most: u64,
    /// The turn that it continues.
    pub previous: Option<TurnId>,
    /// The previous turn and its ancestors, oldest first, if another group holds them. This group then retains copies.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub carried: Vec<TransferredTurn>,
    /// Where its stream begins, if its caller may resume it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream: Option<StreamStart>,
    /// Inputs for the leader's admission check; `None` from entries that do not send them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub opening: Option<AdmissionParams>,
}

impl Begin {
    /// Milliseconds within which the turn ends: its entry breaks it off once its caller waits no longer. 0 from entries that do not
    /// send it.
    pub(super) fn longest_run_ms(&self) -> u64 {
        self.opening.as_ref().map_or(0, |opening| opening.patience)
    }
}

/// Asks a leader whether a [`Begin`] that was submitted just before will be granted; see docs/design/020-commit-latency.md.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BeginQuery {
    /// The team that owns the program; empty if none.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub team: Arc<str>,
    /// The program that the turn belongs to.
    pub program: Arc<str>,
    /// The turn that begins.
    pub turn: TurnId,
}

impl From<&Begin> for BeginQuery {
    fn from(begin: &Begin) -> Self {
        Self { team: begin.team.clone(), program: begin.program.clone(), turn: begin.turn.clone() }
    }
}

/// A retained turn that is copied to another group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TransferredTurn {
    /// The turn's identifier.
    pub name: TurnId,
    /// The caller's input and the generated output.
    pub text: Blob,
    /// Milliseconds for which it is still retained.
    pub retention: u64,
    /// The team that owns it; empty if none.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub team: Arc<str>,
}

impl TransferredTurn {
    /// An upper bound of the size of its encoding.
    fn encoded_bytes(&self) -> usize {
        TURN_BYTES + self.name.len() + self.text.len() + self.team.len()
    }

    /// Whether a team may continue it. A turn without a team was sent without authentication and is open to all.
    #[must_use]
    pub fn is_open_to(&self, team: &str) -> bool {
        self.team.is_empty() || &*self.team == team
    }
}

/// Payload of [`TurnCommand::Finish`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finish {
    /// The program that the turn belongs to.
    pub program: Arc<str>,
    /// The team that owns the program; empty if none.
    #[serde(default, skip_serializing_if = "str::is_empty")]
    pub team: Arc<str>,
    /// The turn that ended.
    pub turn: TurnId,
    /// Tokens that were delivered to the caller.
    pub spent: u64,
    /// Milliseconds that a server spent on it; `None` if no server completed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<u64>,
    /// The server that the turn was last sent to; `None` if it was not sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<Arc<str>>,
    /// Requests that the server reported as running and as waiting with its last response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<(u32, u32)>,
    /// Whether the server failed the turn.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub failed: bool,
    /// The turn to retain, if it completed on a route that retains turns.
    pub kept: Option<RetainedTurn>,
}

/// A completed turn that later turns may continue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RetainedTurn {
    /// The turn that it continues.
    pub previous: Option<TurnId>,
    /// The caller's input and the generated output, encoded after the command; see [`TurnCommand::encode`].
    #[serde(skip)]
    pub text: Blob,
    /// Milliseconds for which it is retained.
    pub retention: u64,
}

/// Reply to a [`TurnCommand`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TurnReply {
    /// The turn may run.
    Begun {
        /// Texts of the turns that it continues, oldest first.
        chain: Vec<Blob>,
        /// Index of the candidate that the leader proposes, if it has an estimate.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        server: Option<u32>,
    },
    /// The turn did not begin, since these attempts at the same request have not ended and their entries have. They may have ended
    /// their servers.
    Interrupted(Vec<TurnId>),
    /// The program's remaining budget is too small for the turn, which must not run.
    Spent,
    /// The previous turn does not exist or belongs to another team. The turn did not begin or, if it has ended, is not retained.
    NoSuchTurn,
    /// A turn and its ancestors, oldest first; empty if this group does not hold the turn.
    Chain(Vec<TransferredTurn>),
    /// The turn is settled.
    Settled,
    /// Retained turns exceed the memory limit; the turn did not begin.
    Full,
    /// The request was charged to its team's rate limit.
    Taken,
    /// The team is over its rate limit and may retry after this many milliseconds.
    Over(u64),
    /// The leader has not received the team's configuration yet.
    UnknownTeam,
    /// Too many programs are active for another to begin. The caller may retry after this many milliseconds.
    Crowded(u64),
    /// The start of the stream is recorded.
    Recorded,
    /// Where a stream began; `None` if it is not known.
    Stream(Option<StreamOrigin>),
    /// What the caller of an unfinished turn has received; `None` if it is not certain.
    Received(Option<ReceivedEvents>),
    /// Whether a suspect may be sent to a server.
    Suspect(SuspectDecision),
    /// The command could not be decoded or does not belong in the log.
    Refused,
}

/// Start of an encoded [`TurnReply::Begun`] of which the chain is the only field.
const BEGUN_WITH_CHAIN: &[u8] = b"\xa1\x65Begun\xa1\x65chain";
/// Position of the header of its map of fields.
const BEGUN_FIELDS: usize = 1 + 1 + "Begun".len();
/// CBOR header of a map with two entries.
const MAP_OF_TWO: u8 = 0xa2;

impl TurnReply {
    /// Encodes a reply, with room for [`Self::add_server`].
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let texts = match self {
            Self::Begun { chain, .. } => chain.iter().map(|text| TURN_BYTES + text.len()).sum(),
            Self::Chain(turns) => turns.iter().map(TransferredTurn::encoded_bytes).sum(),
            _ => 0,
        };
        encode_with_capacity(self, REPLY_BYTES + texts)
    }

    /// Adds the index of a server to an encoded [`TurnReply::Begun`] that has none. Other replies are left unchanged. The
    /// texts, which may be long, are neither decoded nor copied.
    pub fn add_server(encoded: &mut Vec<u8>, server: u32) {
        if encoded.starts_with(BEGUN_WITH_CHAIN) {
            encoded[BEGUN_FIELDS] = MAP_OF_TWO;
            append(encoded, "server");
            append(encoded, &server);
        }
    }
}
