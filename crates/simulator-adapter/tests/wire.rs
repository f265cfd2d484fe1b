//! Tests of the `thistle-28dc` codec, the settings text, and the adapter run as a process.

use decide::api::*;
use simulator_adapter::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn hex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).unwrap()).collect()
}

fn record(text: &str) -> Vec<u8> {
    let mut bytes = hex(text);
    bytes.resize(48, 0);
    bytes
}

fn frame(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut bytes = (records.len() as u32).to_be_bytes().to_vec();
    bytes.extend(((8 + 48 * records.len() + tail.len()) as u32).to_be_bytes());
    bytes.extend(hex("0000000000805c5a"));
    bytes.extend(records.concat());
    bytes.extend(tail);
    bytes
}

fn batch(records: &[Vec<u8>], tail: &[u8]) -> Result<Batch, WireError> {
    let (count, body) = read_frame(&mut &frame(records, tail)[..])?.expect("a frame");
    decode(count, &body)
}

fn event(text: &str) -> Event {
    let batch = batch(&[record(text)], &[]).expect("well formed");
    let [(Instance(3), WireEvent::Module(event))] = &batch.events[..] else { panic!("{batch:?}") };
    event.clone()
}

/// Returns the record and the tail of the endpoint list of two entries in the examples of the wire format.
fn endpoint_list() -> (Vec<u8>, Vec<u8>) {
    (
        record("03 0003 02 00000029 00000000 00000002"),
        hex("01 0a124a07 2bc3 0000 3f800000 0000 00 0000000000000000
             01 0a9011f2 2bec 0000 3fc00000 0000 00 00000000005d1420"),
    )
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    let batch = batch(&[], &[]).unwrap();
    assert_eq!((batch.clock, batch.events.len()), (0x0080_5c5a, 0));
    assert_eq!(Reply::default().into_frame(), hex("00000004 00000000"));
}

#[test]
fn example_events_of_the_wire_format_decode() {
    let request =
        event("01 0003 000d6a085d3a91c4 00000000 00002ee0 0003a980 00 00000000 01 91f03b7c55d20a64");
    let Event::Request(request) = request else { panic!("{request:?}") };
    assert_eq!(request.id, RequestId(0x000d_6a08_5d3a_91c4));
    assert_eq!(request.remaining_us, 240_000);
    assert_eq!((request.key, request.write), (Some(Key(0x91f0_3b7c_55d2_0a64)), false));
    assert_eq!(event("04 0003 000000000000004d"), Event::Timer(Token(77)));
    assert_eq!(event("07 0003 000000000000004d"), Event::ClientLeft(RequestId(77)));
    assert_eq!(event("05 0003 000000000000004d"), Event::FirstByte(RequestId(77)));
    let outcome = event("06 0003 000d6a085d3a91c4 0001 0a124a07 2bc3 0009 00004844 00 03");
    let expected = Event::Outcome {
        id: RequestId(0x000d_6a08_5d3a_91c4),
        attempt: 1,
        outcome: Outcome::Miss,
        latency_us: 0x4844,
        finished: false,
        fetch_pending: true,
        doubtful: false,
        stale: false,
    };
    assert_eq!(outcome, expected);
}

#[test]
fn endpoint_list_decodes() {
    let (record, tail) = endpoint_list();
    let batch = batch(&[record], &tail).unwrap();
    let WireEvent::Module(Event::EndpointList(kind, entries)) = &batch.events[0].1 else {
        panic!("{batch:?}")
    };
    assert_eq!((*kind, entries.len()), (ListKind::Cached, 2));
    assert_eq!(entries[0].id, EndpointId(0x0a12_4a07_2bc3));
    assert_eq!((entries[1].weight, entries[1].started_at), (1.5, 0x005d_1420));
}

#[test]
fn actions_encode_as_in_the_wire_format_examples() {
    let id = RequestId(0x000d_6a08_5d3a_91c4);
    let encoded = |action| {
        let mut reply = Reply::default();
        reply.push(Instance(3), &action);
        reply.into_frame()[8..].to_vec()
    };
    let action_record = |text: &str| {
        let mut bytes = hex(text);
        bytes.resize(24, 0);
        bytes
    };
    let endpoint = EndpointId(0x0a12_4a07_2bc3);
    assert_eq!(
        encoded(Action::Forward { id, endpoint, timeout_us: 80_000 }),
        action_record("01 0003 000d6a085d3a91c4 00013880 0a124a07 2bc3")
    );
    assert_eq!(
        encoded(Action::Timer { delay_us: 500_000, token: Token(77) }),
        action_record("05 0003 0007a120 000000000000004d")
    );
    assert_eq!(
        encoded(Action::Reject { id, retry_after_us: 5, reason: Reason::Shed }),
        action_record("02 0003 000d6a085d3a91c4 00000005")
    );
    assert_eq!(
        encoded(Action::Fail { id, reason: Reason::MayHaveRun }),
        action_record("03 0003 000d6a085d3a91c4")
    );
    assert_eq!(encoded(Action::Cancel { id, attempt: 2 }), action_record("04 0003 000d6a085d3a91c4 0002"));
    assert_eq!(encoded(Action::CloseIdle(endpoint)), action_record("07 0003 0a124a07 2bc3"));
    assert_eq!(encoded(Action::WatchEndpoints), action_record("0b 0003 01"));
    // The field cannot hold a timeout or a delay of u64::MAX.
    assert_eq!(encoded(Action::Forward { id, endpoint, timeout_us: u64::MAX })[11..15], [0; 4]);
    assert_eq!(
        encoded(Action::Timer { delay_us: u64::MAX, token: Token(1) })[3..7],
        4_260_000_000_u32.to_be_bytes()
    );
}

#[test]
fn batch_truncated_anywhere_returns_an_error() {
    let (record, tail) = endpoint_list();
    let whole = frame(&[record], &tail);
    for cut in 1..whole.len() {
        let result = read_frame(&mut &whole[..cut]);
        assert!(matches!(result, Err(WireError::Truncated { .. })), "{cut}: {result:?}");
    }
    assert!(read_frame(&mut &[][..]).unwrap().is_none(), "an input without a frame returns None");
}

#[test]
fn error_names_the_malformed_record() {
    let error_text = |records: &[Vec<u8>]| batch(records, &[]).unwrap_err().to_string();
    assert_eq!(error_text(&[record("63 0003")]), "record 0: unknown event code 99");
    let good = record("04 0003 000000000000004d");
    assert_eq!(error_text(&[good, record("06 0003 00 00")]), "record 1: unknown outcome 0");
    assert_eq!(error_text(&[record("03 0003 09")]), "record 0: unknown list mode 9");
    let (outside, _) = endpoint_list();
    assert_eq!(error_text(&[outside]), "record 0: the list at 0 + 48 bytes lies outside the tail of 0 bytes");
    let far = record("09 0003 0000000000000000 ffffffff ffffffff");
    assert!(error_text(&[far]).contains("the settings at 4294967295 + 4294967295 bytes"));
    let short = hex("00000002 00000010 0000000000000000 0000000000000000");
    let error = read_frame(&mut &short[..]).unwrap_err().to_string();
    assert_eq!(error, "batch length 16 is too short for 2 records");
}

#[test]
fn changed_byte_does_not_cause_a_panic() {
    let (list, tail) = endpoint_list();
    let valid =
        frame(&[list, record("06 0003 000d6a085d3a91c4 0001 0a124a07 2bc3 0009"), record("01 0003")], &tail);
    let mut errors = 0;
    for at in 0..valid.len() {
        for value in [0x00, 0x01, 0x7f, 0xff] {
            let mut bytes = valid.clone();
            bytes[at] = value;
            let result = read_frame(&mut &bytes[..]);
            errors += usize::from(!matches!(result, Ok(Some((n, body))) if decode(n, &body).is_ok()));
        }
    }
    assert!(errors > 50, "only {errors} of the changed frames were rejected");
}

const SETTINGS: &str = "siblings=2\ndiscovery=ask\n\
    profiles.count=2\nprofiles.0.effect=retryable\nprofiles.0.onTimeUs=5\n\
    profiles.1.effect=dedup\nprofiles.1.keyScope=zone\nprofiles.1.memorySpanUs=9\nspecifics.originKind=3\n\
    weights=live\ndcs=a,b,c\ntenants.count=1\ntenants.0.quotaPerS=7.5\nsome.new.key=whatever\npermissions.retryAfter=true\n\
    permissions.maxRetryAfterUs=11\n";

#[test]
fn unknown_settings_are_ignored_and_missing_ones_get_defaults() {
    let settings: Settings = SETTINGS.parse().unwrap();
    assert_eq!((settings.balancers, settings.discovery), (2, Discovery::Poll));
    assert_eq!(
        (settings.classes[0].effect, settings.classes[0].latency_objective_us),
        (Effect::Idempotent, 5)
    );
    assert_eq!(settings.classes[1].effect, Effect::IdempotentWithKey { scope: DedupScope::Zone, span_us: 9 });
    assert_eq!((settings.origin_kind, settings.zones, settings.has_stable_weights), (Some(3), 3, false));
    assert_eq!((settings.tenants[0].quota_per_s, settings.max_retry_after_us), (7.5, 11));
    assert_eq!("".parse::<Settings>().unwrap(), Settings::default());
    assert_eq!("specifics.originKind=-1".parse::<Settings>().unwrap().origin_kind, None);
}

#[test]
fn error_names_an_invalid_setting_and_its_value() {
    for (line, expected) in [
        ("siblings=many", "setting siblings: \"many\" is not a whole number"),
        ("discovery=guess", "setting discovery: \"guess\" is not push or ask"),
        ("rules.coldFrom=-1", "setting rules.coldFrom: \"-1\" is not a number of at least 0"),
        ("prices.crossZone=NaN", "setting prices.crossZone: \"NaN\" is not a number of at least 0"),
        ("profiles.count=99999999", "setting profiles.count: \"99999999\" is not a count of at most 65536"),
        (
            "profiles.count=1\nprofiles.0.effect=odd",
            "setting profiles.0.effect: \"odd\" is not retryable, dedup or fragile",
        ),
    ] {
        assert_eq!(line.parse::<Settings>().unwrap_err().to_string(), expected);
    }
}

/// Runs the adapter process with this input until it exits.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_spindlebeam-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot start the adapter");
    let mut stdin = child.stdin.take().expect("standard input is not piped");
    let _ = stdin.write_all(input); // the adapter may stop reading at a malformed record
    drop(stdin);
    child.wait_with_output().expect("cannot wait for the adapter")
}

/// Returns a frame that starts an instance with `SETTINGS`, sends it the endpoint list, and sends it a request.
fn start_frame(instance: u8) -> Vec<u8> {
    let (mut list, entries) = endpoint_list();
    list[2] = instance;
    list[8..12].copy_from_slice(&(SETTINGS.len() as u32).to_be_bytes());
    let configure = record(&format!("09 00{instance:02x} 0000000000000007 00000000 {:08x}", SETTINGS.len()));
    let request = record(&format!(
        "01 00{instance:02x} 000d6a085d3a91c4 00000000 00002ee0 0003a980 00 00000000 01 91f03b7c55d20a64"
    ));
    frame(&[configure, list, request], &[SETTINGS.as_bytes(), &entries].concat())
}

#[test]
fn adapter_replies_to_each_batch_and_exits_at_end_of_input() {
    let output = run_adapter(&[frame(&[], &[]), start_frame(3)].concat());
    assert!(output.status.success(), "{output:?}");
    assert_eq!(output.stdout[..8], hex("00000004 00000000"));
    assert_eq!(
        output.stdout[12..16],
        [0, 0, 0, 2],
        "the reply has two actions: the watch timer and the forward"
    );
    assert_eq!(output.stdout[16 + 24], 1, "the request is forwarded");
}

#[test]
fn restarted_instance_starts_without_state() {
    let stop = frame(&[record("08 0003"), record("07 0003 000d6a085d3a91c4")], &[]);
    let output = run_adapter(&[start_frame(3), stop, start_frame(3)].concat());
    assert!(output.status.success(), "{output:?}");
    let first = &output.stdout[..output.stdout.len() / 2 - 4];
    assert_eq!(
        &output.stdout[output.stdout.len() / 2 + 4..],
        first,
        "the second start returned other actions"
    );
}

#[test]
fn instances_of_one_process_are_independent() {
    let alone = run_adapter(&start_frame(3)).stdout;
    let with_another = run_adapter(&[start_frame(4), start_frame(3)].concat()).stdout;
    assert_eq!(with_another[with_another.len() - alone.len()..], alone);
}

#[test]
fn adapter_reports_malformed_input_without_a_partial_reply() {
    let good = start_frame(3);
    let bad = frame(&[record("63 0003")], &[]);
    for (input, expected) in [
        (bad.clone(), "record 0: unknown event code 99"),
        (good[..good.len() - 1].to_vec(), "truncated batch"),
        (good[..5].to_vec(), "truncated batch: 5 of 8 bytes of the header"),
    ] {
        let output = run_adapter(&input);
        assert!(!output.status.success() && output.stdout.is_empty(), "{output:?}");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains(expected) && !text.contains("panic"), "{text}");
    }
}

/// The input has an endpoint list, a request for each outcome, timers and the start of a second instance.
#[test]
fn replies_match_the_golden_bytes() {
    let outcomes = (1..10).map(|code| {
        let request = record(&format!(
            "01 0003 000d6a085d3a92{code:02x} 00000000 00002ee0 0003a980 00 00000000 01 91f03b7c55d20a{code:02x}"
        ));
        let outcome = record(&format!("06 0003 000d6a085d3a92{code:02x} 0000 0a124a07 2bc3 {code:04x} 00004844 01 00"));
        frame(&[request, outcome], &[])
    });
    let timers = frame(&[record("04 0003 0000000000000000"), record("04 0003 0000000000000001")], &[]);
    let input = [start_frame(3), outcomes.collect::<Vec<_>>().concat(), timers, start_frame(4)].concat();
    let output = run_adapter(&input);
    let text: Vec<String> =
        output.stdout.chunks(24).map(|row| row.iter().map(|byte| format!("{byte:02x}")).collect()).collect();
    let errors = String::from_utf8_lossy(&output.stderr);
    expect_test::expect_file!["golden/replies.txt"].assert_eq(&format!("{}\n{errors}", text.join("\n")));
}
