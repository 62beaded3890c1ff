//! Errors of operator calls.

use std::sync::Arc;

use agatetrestle_schema::operator_capnp::failure;
use snafu::Snafu;

use crate::ports::ChangeError;
use crate::ports::GroupError;
use crate::programs::command::Refusal;

/// Why a call failed. The text is shown to the operator, the kind decides the exit code of the tool.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum CallError {
    #[snafu(display("no VM or backend server is named {name}"))]
    NoSuchName { name: Arc<str> },
    #[snafu(display("invalid program id {text}: expected partner/name"))]
    InvalidProgramId { text: Arc<str> },
    #[snafu(display("the call can't be settled: {}", describe(refusal)))]
    NotResolved { refusal: Refusal },
    #[snafu(display("unexpected reply from a replica, which may run another build"))]
    UnexpectedReply,
    #[snafu(display("{source}"), context(false))]
    Group { source: GroupError },
    #[snafu(display("{source}"), context(false))]
    Replicas { source: ChangeError },
}

/// The ledger refuses a `Resolve` command only for the first two reasons.
fn describe(refusal: &Refusal) -> Arc<str> {
    match refusal {
        Refusal::NoProgram => "there is no such program".into(),
        Refusal::WrongState => "it is not of unknown outcome, or was settled before".into(),
        other => format!("{other:?}").into(),
    }
}

impl CallError {
    pub(super) fn write(&self, mut builder: failure::Builder<'_>) {
        let text = self.to_string();
        match self {
            Self::NoSuchName { .. } | Self::InvalidProgramId { .. } | Self::NotResolved { .. } => {
                builder.set_invalid(text.as_str());
            }
            Self::Group { source: GroupError::NotProposed { .. } } => builder.set_unavailable(text.as_str()),
            Self::Group { source: GroupError::Unknown { .. } } | Self::UnexpectedReply => {
                builder.set_unknown(text.as_str());
            }
            Self::Replicas { source } => match source {
                ChangeError::Invalid => builder.set_invalid(text.as_str()),
                ChangeError::Undecided => builder.set_unknown(text.as_str()),
                ChangeError::NoReplica { .. } | ChangeError::NotLeader { .. } | ChangeError::Pending => {
                    builder.set_unavailable(text.as_str());
                }
            },
        }
    }
}
