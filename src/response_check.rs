//! Decides whether a response is the answer to the request that was sent.
//!
//! A connection may carry bytes that look like a response and belong to no request or to another
//! one: a late second response, the output of a faulty backend, or that of another program at the
//! same address. Nothing that such a response says may be believed, neither its status nor its
//! statement that the request did not run.
//!
//! ```
//! use yuccacove::response_check::{CallKind, EchoedId, ResponseFault, ResponseMarks, Verdict};
//!
//! let response = ResponseMarks {
//!     status: 200,
//!     id: EchoedId::Own,
//!     is_signed: true,
//!     is_not_run: false,
//! };
//! assert_eq!(response.verdict(CallKind::Run), Verdict::Answer);
//! let unsigned = ResponseMarks { is_signed: false, ..response };
//! let fault = ResponseFault::MissingSignature;
//! assert_eq!(unsigned.verdict(CallKind::Run), Verdict::Invalid(fault));
//! // Bytes without the request's id prove nothing, not even that the request did not run.
//! let refusal = ResponseMarks { status: 503, id: EchoedId::Absent, is_not_run: true, ..unsigned };
//! let fault = ResponseFault::MissingId;
//! assert_eq!(refusal.verdict(CallKind::Run), Verdict::Invalid(fault));
//! ```

use std::ops::RangeInclusive;

/// Statuses of answers. Those below tell that one follows.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Whether an answer can have this status.
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// What a call asks of a backend, which determines what its response must bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Runs a caller's request. The response repeats its id, and a success is signed.
    Run,
    /// Prefills the prompt of a caller's request. The response repeats its id; it is not for the
    /// caller and needs no signature.
    Prefill,
    /// A call of the host itself, which has no request id.
    Control,
}

/// The request id that a response bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EchoedId {
    /// None.
    Absent,
    /// That of the request.
    Own,
    /// That of another request.
    Other,
}

/// What the head of a response says of its origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseMarks {
    /// HTTP status.
    pub status: u16,
    /// Request id.
    pub id: EchoedId,
    /// Whether the backend has signed it.
    pub is_signed: bool,
    /// Whether it states that the backend did not run the request.
    pub is_not_run: bool,
}

/// Why a response is no answer to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResponseFault {
    /// It bears no request id.
    MissingId,
    /// It bears the id of another request.
    OtherId,
    /// It is a success without the signature of a backend.
    MissingSignature,
    /// Its status is none that an answer can have (RFC 9110, section 15).
    ImpossibleStatus,
}

/// What a response means to the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer to the request.
    Answer,
    /// The backend did not run the request.
    NotRun,
    /// The status would tell the caller that the request did not run, but the backend did not state
    /// this.
    Unproven,
    /// It is no answer; whether the request ran is unknown.
    Invalid(ResponseFault),
}

impl ResponseMarks {
    /// Returns what the response to a call of this kind means.
    pub fn verdict(&self, kind: CallKind) -> Verdict {
        if let Some(fault) = self.id_fault(kind) {
            return Verdict::Invalid(fault);
        }
        if !is_final_status(self.status) {
            return Verdict::Invalid(ResponseFault::ImpossibleStatus);
        }
        if kind == CallKind::Control {
            return Verdict::Answer;
        }
        // Status 421 means that the address now belongs to another backend, which did not run the
        // request.
        if self.is_not_run || self.status == 421 {
            return Verdict::NotRun;
        }
        if matches!(self.status, 408 | 429 | 503) {
            return Verdict::Unproven;
        }
        let is_success = (200..300).contains(&self.status);
        if kind == CallKind::Run && is_success && !self.is_signed {
            return Verdict::Invalid(ResponseFault::MissingSignature);
        }
        Verdict::Answer
    }

    fn id_fault(&self, kind: CallKind) -> Option<ResponseFault> {
        match (kind, self.id) {
            (CallKind::Run | CallKind::Prefill, EchoedId::Own)
            | (CallKind::Control, EchoedId::Absent) => None,
            (CallKind::Run | CallKind::Prefill, EchoedId::Absent) => Some(ResponseFault::MissingId),
            (_, EchoedId::Other) | (CallKind::Control, EchoedId::Own) => {
                Some(ResponseFault::OtherId)
            }
        }
    }
}
