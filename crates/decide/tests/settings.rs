//! Parsing of the text form of the settings.

use decide::api::Settings;

#[test]
fn overload_multiple_is_read_and_never_less_than_one() {
    let read = |text: &str| {
        text.parse::<Settings>().map(|settings| (settings.overload_multiple, settings.overload_window_us))
    };
    assert_eq!(read(""), Ok((3.0, 1_000_000)), "the defaults");
    assert_eq!(read("rules.fallMultiple=2.5\nrules.tipAfterUs=3000000"), Ok((2.5, 3_000_000)));
    assert_eq!(read("rules.fallMultiple=0\nrules.tipAfterUs=0"), Ok((1.0, 100_000)));
    assert!(read("rules.fallMultiple=-3").is_err() && read("rules.tipAfterUs=1s").is_err());
}
