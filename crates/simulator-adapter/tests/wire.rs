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

/// An `announce` of two entries, as the wire's page prints them.
fn announce() -> (Vec<u8>, Vec<u8>) {
    (
        record("03 0003 02 00000029 00000000 00000002"),
        hex("01 0a124a07 2bc3 0000 3f800000 0000 00 0000000000000000
             01 0a9011f2 2bec 0000 3fc00000 0000 00 00000000005d1420"),
    )
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let batch = batch(&[], &[]).unwrap();
    assert_eq!((batch.clock, batch.events.len()), (0x0080_5c5a, 0));
    assert_eq!(Reply::default().into_frame(), hex("00000004 00000000"));
}

#[test]
fn events_of_the_page_decode() {
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
        stale: false,
    };
    assert_eq!(outcome, expected);
}

#[test]
fn the_server_list_decodes() {
    let (record, tail) = announce();
    let batch = batch(&[record], &tail).unwrap();
    let WireEvent::Module(Event::EndpointList(kind, entries)) = &batch.events[0].1 else {
        panic!("{batch:?}")
    };
    assert_eq!((*kind, entries.len()), (ListKind::Cached, 2));
    assert_eq!(entries[0].id, EndpointId(0x0a12_4a07_2bc3));
    assert_eq!((entries[1].weight, entries[1].online_since), (1.5, 0x005d_1420));
}

#[test]
fn actions_encode_as_the_page_prints_them() {
    let id = RequestId(0x000d_6a08_5d3a_91c4);
    let encoded = |action| {
        let mut reply = Reply::default();
        reply.push(Instance(3), &action);
        reply.into_frame()[8..].to_vec()
    };
    let row = |text: &str| {
        let mut bytes = hex(text);
        bytes.resize(24, 0);
        bytes
    };
    let server = EndpointId(0x0a12_4a07_2bc3);
    assert_eq!(
        encoded(Action::Forward { id, endpoint: server, timeout_us: 80_000 }),
        row("01 0003 000d6a085d3a91c4 00013880 0a124a07 2bc3")
    );
    assert_eq!(
        encoded(Action::Timer { delay_us: 500_000, token: Token(77) }),
        row("05 0003 0007a120 000000000000004d")
    );
    assert_eq!(
        encoded(Action::Reject { id, retry_after_us: 5, reason: Reason::Shed }),
        row("02 0003 000d6a085d3a91c4 00000005")
    );
    assert_eq!(encoded(Action::Fail { id, reason: Reason::MayHaveRun }), row("03 0003 000d6a085d3a91c4"));
    assert_eq!(encoded(Action::Cancel { id, attempt: 2 }), row("04 0003 000d6a085d3a91c4 0002"));
    assert_eq!(encoded(Action::CloseIdle(server)), row("07 0003 0a124a07 2bc3"));
    assert_eq!(encoded(Action::Watch), row("0b 0003 01"));
    // The field cannot hold a timeout or a delay of u64::MAX.
    assert_eq!(encoded(Action::Forward { id, endpoint: server, timeout_us: u64::MAX })[11..15], [0; 4]);
    assert_eq!(
        encoded(Action::Timer { delay_us: u64::MAX, token: Token(1) })[3..7],
        4_260_000_000_u32.to_be_bytes()
    );
}

#[test]
fn every_cut_of_a_batch_is_an_error_and_none_a_panic() {
    let (record, tail) = announce();
    let whole = frame(&[record], &tail);
    for cut in 1..whole.len() {
        let result = read_frame(&mut &whole[..cut]);
        assert!(matches!(result, Err(WireError::Truncated { .. })), "{cut}: {result:?}");
    }
    assert!(read_frame(&mut &[][..]).unwrap().is_none(), "a clean end is none");
}

#[test]
fn malformed_records_are_named() {
    let text = |records: &[Vec<u8>]| batch(records, &[]).unwrap_err().to_string();
    assert_eq!(text(&[record("63 0003")]), "record 0: unknown event code 99");
    let good = record("04 0003 000000000000004d");
    assert_eq!(text(&[good, record("06 0003 00 00")]), "record 1: unknown outcome 0");
    assert_eq!(text(&[record("03 0003 09")]), "record 0: unknown list mode 9");
    let (outside, _) = announce();
    assert_eq!(text(&[outside]), "record 0: the list at 0 + 48 bytes lies outside the tail of 0");
    let far = record("09 0003 0000000000000000 ffffffff ffffffff");
    assert!(text(&[far]).contains("the settings at 4294967295 + 4294967295 bytes"));
    let short = hex("00000002 00000010 0000000000000000 0000000000000000");
    let error = read_frame(&mut &short[..]).unwrap_err().to_string();
    assert_eq!(error, "batch length 16 is too short for 2 records");
}

#[test]
fn any_single_byte_may_change_without_a_panic() {
    let (list, tail) = announce();
    let plain =
        frame(&[list, record("06 0003 000d6a085d3a91c4 0001 0a124a07 2bc3 0009"), record("01 0003")], &tail);
    let mut errors = 0;
    for at in 0..plain.len() {
        for value in [0x00, 0x01, 0x7f, 0xff] {
            let mut bytes = plain.clone();
            bytes[at] = value;
            let result = read_frame(&mut &bytes[..]);
            errors += usize::from(!matches!(result, Ok(Some((n, body))) if decode(n, &body).is_ok()));
        }
    }
    assert!(errors > 50, "codes, counts and offsets are checked: {errors}");
}

const FACTS: &str = "siblings=2\ndiscovery=ask\nprofiles.count=2\nprofiles.0.effect=retryable\nprofiles.0.onTimeUs=5\n\
    profiles.1.effect=dedup\nprofiles.1.keyScope=zone\nprofiles.1.memorySpanUs=9\nspecifics.originKind=3\n\
    weights=live\ndcs=a,b,c\ntenants.count=1\ntenants.0.quotaPerS=7.5\nsome.new.key=whatever\npermissions.retryAfter=true\n\
    permissions.maxRetryAfterUs=11\n";

#[test]
fn settings_are_read_unknown_ones_ignored_missing_ones_defaulted() {
    let settings: Settings = FACTS.parse().unwrap();
    assert_eq!((settings.balancers, settings.discovery), (2, Discovery::Poll));
    assert_eq!(
        (settings.classes[0].effect, settings.classes[0].latency_objective_us),
        (Effect::Idempotent, 5)
    );
    assert_eq!(settings.classes[1].effect, Effect::IdempotentWithKey { scope: DedupScope::Zone, span_us: 9 });
    assert_eq!((settings.origin_kind, settings.zones, settings.weights_are_lasting), (Some(3), 3, false));
    assert_eq!((settings.tenants[0].quota_per_s, settings.max_retry_after_us), (7.5, 11));
    assert_eq!("".parse::<Settings>().unwrap(), Settings::default());
    assert_eq!("specifics.originKind=-1".parse::<Settings>().unwrap().origin_kind, None);
}

#[test]
fn a_bad_setting_is_named_with_its_value() {
    for (line, said) in [
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
        assert_eq!(line.parse::<Settings>().unwrap_err().to_string(), said);
    }
}

/// Runs the adapter on this input.
fn drill(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_spindlebeam-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("piped");
    let _ = stdin.write_all(input); // the adapter may stop reading at a malformed record
    drop(stdin);
    child.wait_with_output().expect("the adapter ends")
}

/// A `configure` of an instance with `FACTS`, the list, and a request.
fn start(instance: u8) -> Vec<u8> {
    let (mut list, entries) = announce();
    list[2] = instance;
    list[8..12].copy_from_slice(&(FACTS.len() as u32).to_be_bytes());
    let configure = record(&format!("09 00{instance:02x} 0000000000000007 00000000 {:08x}", FACTS.len()));
    let ask = record(&format!(
        "01 00{instance:02x} 000d6a085d3a91c4 00000000 00002ee0 0003a980 00 00000000 01 91f03b7c55d20a64"
    ));
    frame(&[configure, list, ask], &[FACTS.as_bytes(), &entries].concat())
}

#[test]
fn the_adapter_replies_to_each_batch_and_exits_cleanly_at_the_end() {
    let output = drill(&[frame(&[], &[]), start(3)].concat());
    assert!(output.status.success(), "{output:?}");
    assert_eq!(output.stdout[..8], hex("00000004 00000000"));
    assert_eq!(output.stdout[12..16], [0, 0, 0, 2], "a timer for the watch, and the send");
    assert_eq!(output.stdout[16 + 24], 1, "the request is sent");
}

#[test]
fn an_instance_restarted_in_one_batch_forgets_what_it_had() {
    let stop = frame(&[record("08 0003"), record("07 0003 000d6a085d3a91c4")], &[]);
    let output = drill(&[start(3), stop, start(3)].concat());
    assert!(output.status.success(), "{output:?}");
    let first = &output.stdout[..output.stdout.len() / 2 - 4];
    assert_eq!(&output.stdout[output.stdout.len() / 2 + 4..], first, "the same start, the same actions");
}

#[test]
fn instances_do_not_depend_on_their_neighbours() {
    let alone = drill(&start(3)).stdout;
    let beside = drill(&[start(4), start(3)].concat()).stdout;
    assert_eq!(beside[beside.len() - alone.len()..], alone);
}

#[test]
fn the_adapter_says_what_is_malformed_without_a_partial_reply() {
    let good = start(3);
    let bad = frame(&[record("63 0003")], &[]);
    for (input, said) in [
        (bad.clone(), "record 0: unknown event code 99"),
        (good[..good.len() - 1].to_vec(), "truncated batch"),
        (good[..5].to_vec(), "truncated batch: 5 of 8 bytes of the header"),
    ] {
        let output = drill(&input);
        assert!(!output.status.success() && output.stdout.is_empty(), "{output:?}");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains(said) && !text.contains("panic"), "{text}");
    }
}

/// The input has an endpoint list, a request for each outcome, timers and the start of a second instance.
#[test]
fn replies_keep_their_bytes() {
    let outcomes = (1..10).map(|code| {
        let request = record(&format!(
            "01 0003 000d6a085d3a92{code:02x} 00000000 00002ee0 0003a980 00 00000000 01 91f03b7c55d20a{code:02x}"
        ));
        let outcome = record(&format!("06 0003 000d6a085d3a92{code:02x} 0000 0a124a07 2bc3 {code:04x} 00004844 01 00"));
        frame(&[request, outcome], &[])
    });
    let timers = frame(&[record("04 0003 0000000000000000"), record("04 0003 0000000000000001")], &[]);
    let input = [start(3), outcomes.collect::<Vec<_>>().concat(), timers, start(4)].concat();
    let output = drill(&input);
    let text: Vec<String> =
        output.stdout.chunks(24).map(|row| row.iter().map(|byte| format!("{byte:02x}")).collect()).collect();
    let said = String::from_utf8_lossy(&output.stderr);
    expect_test::expect_file!["golden/replies.txt"].assert_eq(&format!("{}\n{said}", text.join("\n")));
}
