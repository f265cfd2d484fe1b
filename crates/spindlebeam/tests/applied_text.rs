//! The text of `came_to` in the answer to a proposal, which operators' programs compare.

use calendar::{Applied, Calendar, Proposal, ProposalError, Revoke};
use spindlebeam::fleet_thread::answer::applied_text;

#[test]
fn each_outcome_keeps_its_text() {
    let refused = |error| Some(Applied::Refused(error));
    for (applied, text) in [
        (None, "None"),
        (Some(Applied::Added), "Some(Added)"),
        (Some(Applied::Revoked), "Some(Revoked)"),
        (Some(Applied::AlreadyApplied), "Some(Known)"),
        (refused(ProposalError::Duplicate("a\"b".into())), "Some(Refused(Duplicate(\"a\\\"b\")))"),
        (refused(ProposalError::UnknownEntry("x".into())), "Some(Refused(Unknown(\"x\")))"),
        (refused(ProposalError::EndsBeforeInForce("x".into())), "Some(Refused(Over(\"x\")))"),
        (refused(ProposalError::TooManyEntries), "Some(Refused(Full))"),
        (refused(ProposalError::TooManyOccurrences), "Some(Refused(TooMany))"),
    ] {
        assert_eq!(applied_text(applied.as_ref()), text);
    }
}

#[test]
fn an_invalid_field_keeps_its_text() {
    let revoke = Proposal::Revoke(Revoke { id: "".into(), asked_by: "ada".into(), reason: "over".into() });
    let applied = Calendar::new(10_000).apply(1, 0, &revoke);
    let text = "Some(Refused(Invalid(Invalid { field: \"id\", what: Empty })))";
    assert_eq!(applied_text(Some(&applied)), text);
}
