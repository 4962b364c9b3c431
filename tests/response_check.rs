//! Tests of the check whether a response is the answer to the request that was sent.

use yuccacove::response_check::{
    CallKind::{self, Control, Prefill, Run},
    EchoedId::{self, Absent, Other, Own},
    ResponseFault::{MissingId, MissingSignature, OtherId},
    ResponseMarks,
    Verdict::{self, Answer, Invalid, NotRun, Unproven},
};

#[derive(Debug)]
struct Case {
    kind: CallKind,
    id: EchoedId,
    status: u16,
    is_signed: bool,
    is_not_run: bool,
    expected: Verdict,
}

const CASE: Case = Case {
    kind: Run,
    id: Own,
    status: 200,
    is_signed: true,
    is_not_run: false,
    expected: Answer,
};

/// Guards against an answer made of bytes that belong to no request, and against a statement that an
/// order did not run, on which it is sent again, from such bytes.
#[test]
fn verdict_cases() {
    #[rustfmt::skip]
    let cases = [
        CASE,
        Case { status: 204, ..CASE },
        Case { status: 500, is_signed: false, ..CASE },
        Case { status: 404, is_signed: false, ..CASE },
        Case { is_signed: false, expected: Invalid(MissingSignature), ..CASE },
        Case { status: 204, is_signed: false, expected: Invalid(MissingSignature), ..CASE },
        Case { id: Absent, expected: Invalid(MissingId), ..CASE },
        Case { id: Other, expected: Invalid(OtherId), ..CASE },
        Case { id: Absent, status: 500, expected: Invalid(MissingId), ..CASE },
        // Refusals of the backend itself.
        Case { status: 503, is_not_run: true, is_signed: false, expected: NotRun, ..CASE },
        Case { status: 429, is_not_run: true, is_signed: false, expected: NotRun, ..CASE },
        Case { status: 400, is_not_run: true, is_signed: false, expected: NotRun, ..CASE },
        Case { status: 421, is_signed: false, expected: NotRun, ..CASE },
        Case { status: 503, expected: Unproven, ..CASE },
        Case { status: 429, expected: Unproven, ..CASE },
        Case { status: 408, expected: Unproven, ..CASE },
        // Refusals that belong to no request or to another one.
        Case { id: Absent, status: 503, is_not_run: true, expected: Invalid(MissingId), ..CASE },
        Case { id: Absent, status: 421, expected: Invalid(MissingId), ..CASE },
        Case { id: Other, status: 503, is_not_run: true, expected: Invalid(OtherId), ..CASE },
        Case { id: Other, status: 421, expected: Invalid(OtherId), ..CASE },
        // The result of a prefill is not for the caller.
        Case { kind: Prefill, is_signed: false, ..CASE },
        Case { kind: Prefill, id: Absent, expected: Invalid(MissingId), ..CASE },
        Case { kind: Prefill, id: Other, expected: Invalid(OtherId), ..CASE },
        Case { kind: Prefill, status: 503, is_not_run: true, expected: NotRun, ..CASE },
        // Calls of the host itself have no id, so that a response with one is another call's.
        Case { kind: Control, id: Absent, is_signed: false, ..CASE },
        Case { kind: Control, id: Absent, status: 421, is_signed: false, ..CASE },
        Case { kind: Control, id: Absent, status: 503, is_signed: false, ..CASE },
        Case { kind: Control, id: Other, expected: Invalid(OtherId), ..CASE },
    ];
    for case in cases {
        let marks = ResponseMarks {
            status: case.status,
            id: case.id,
            is_signed: case.is_signed,
            is_not_run: case.is_not_run,
        };
        assert_eq!(marks.verdict(case.kind), case.expected, "{case:?}");
    }
}
