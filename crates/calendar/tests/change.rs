//! The words for kinds of change in digests and log lines.

use calendar::ChangeKind;

#[test]
fn change_kind_words_never_change() {
    let words = [
        (ChangeKind::Drain, "Drain"),
        (ChangeKind::Gone, "Gone"),
        (ChangeKind::Fall, "Fall"),
        (ChangeKind::Cold, "Cold"),
        (ChangeKind::Out, "Out"),
        (ChangeKind::Back, "Back"),
        (ChangeKind::Less, "Less"),
        (ChangeKind::Join, "Join"),
        (ChangeKind::More, "More"),
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
