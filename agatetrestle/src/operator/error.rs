//! Why a call of an operator did nothing.

use std::sync::Arc;

use agatetrestle_schema::operator_capnp::failure;
use snafu::Snafu;

use crate::ports::ChangeError;
use crate::ports::GroupError;
use crate::programs::command::Refusal;

/// Why a call did nothing; its text goes to the operator, its kind decides the tool's exit code.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum CallError {
    #[snafu(display("no VM or backend server is named {name}"))]
    NoSuchName { name: Arc<str> },
    #[snafu(display("{text} is no program id of the form partner/name"))]
    NoProgramId { text: Arc<str> },
    #[snafu(display("the call can't be settled: {}", reason(refusal)))]
    Unsettled { refusal: Refusal },
    #[snafu(display("a replica gave an answer that this build does not know"))]
    Unexpected,
    #[snafu(display("{source}"), context(false))]
    Group { source: GroupError },
    #[snafu(display("{source}"), context(false))]
    Replicas { source: ChangeError },
}

/// The ledger gives only the first two reasons for a settlement.
fn reason(refusal: &Refusal) -> Arc<str> {
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
            Self::NoSuchName { .. } | Self::NoProgramId { .. } | Self::Unsettled { .. } => {
                builder.set_invalid(text.as_str());
            }
            Self::Group { source: GroupError::NotProposed { .. } } => builder.set_unavailable(text.as_str()),
            Self::Group { source: GroupError::Unknown { .. } } | Self::Unexpected => {
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
