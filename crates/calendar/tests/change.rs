//! The words for kinds of change in digests and log lines.

use calendar::ChangeKind;

#[test]
fn change_kind_words_never_change() {
    let words = [
        (ChangeKind::Drain, "Drain"),
        (ChangeKind::Gone, "Gone"),
        (ChangeKind::Down, "Fall"),
        (ChangeKind::Restarted, "Cold"),
        (ChangeKind::Disabled, "Out"),
        (ChangeKind::Enabled, "Back"),
        (ChangeKind::WeightReduced, "Less"),
        (ChangeKind::Join, "Join"),
        (ChangeKind::WeightIncreased, "More"),
        (ChangeKind::Zone, "Zone"),
        (ChangeKind::Discovery, "Discovery"),
        (ChangeKind::Configuration, "Configuration"),
        (ChangeKind::Restart, "Restart"),
        (ChangeKind::Growth, "Growth"),
        (ChangeKind::Council, "Council"),
    ];
    for (kind, word) in words {
        assert_eq!(kind.as_str(), word);
    }
}
