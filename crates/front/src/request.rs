//! From a client's command to a request, or to an answer of the front's own.

use decide::api::{ClassId, Key, TenantId};
use gateway::Call;
use gateway::engine::IncomingRequest;
use gateway::setup::Names;
use proto::resp::Command;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest time that a request may name: ten minutes. No class waits that long.
const LONGEST_MS: f64 = 600_000.0;

/// What a command asks of the balancer.
#[derive(Debug)]
pub(crate) enum Asked {
    /// A request for the core.
    Request(IncomingRequest),
    /// `PING`.
    Ping,
    /// Answered with a status.
    Ok,
    /// Answered with a status, then the connection ends.
    Quit,
    /// Answered with this error; the connection goes on.
    Refused(&'static str),
}

/// Reads a command whose last byte came then.
#[must_use]
pub(crate) fn read(command: &Command, names: &Names, received: Instant) -> Asked {
    let word = command.0[0].to_ascii_uppercase();
    match &word[..] {
        b"CACHE.GET" | b"CACHE.SET" => match request(command, word == b"CACHE.SET", names, received) {
            Ok(incoming) => Asked::Request(incoming),
            Err(why) => Asked::Refused(why),
        },
        b"PING" => Asked::Ping,
        b"CLIENT" | b"SELECT" => Asked::Ok,
        b"QUIT" => Asked::Quit,
        _ => Asked::Refused("unknown command"),
    }
}

/// One printable word: it goes into header lines to the origin, where a line end would forge a header.
fn is_word(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(u8::is_ascii_graphic)
}

fn request(
    command: &Command, write: bool, names: &Names, received: Instant,
) -> Result<IncomingRequest, &'static str> {
    let words = &command.0;
    if words.len() != if write { 5 } else { 4 } {
        return Err("wrong number of arguments");
    }
    let (key, id, options) = (&words[1], &words[2], &words[3]);
    let hex = std::str::from_utf8(key).ok().filter(|_| key.iter().all(u8::is_ascii_hexdigit));
    let number = hex.and_then(|text| u64::from_str_radix(text, 16).ok()).ok_or("bad key")?;
    if !is_word(id) || !is_word(options) {
        return Err("bad id or options");
    }
    let (mut class, mut tenant, mut time): (_, _, Option<(f64, _)>) = (None, TenantId(0), None);
    for option in options.split(|b| *b == b',') {
        let at = option.iter().position(|b| *b == b'=').ok_or("bad options")?;
        let (name, value) = (&option[..at], &option[at + 1..]);
        let text = std::str::from_utf8(value).map_err(|_| "bad options")?;
        let place = |list: &[String]| list.iter().position(|item| item == text);
        match name {
            b"c" => {
                let place = place(&names.classes).and_then(|at| u8::try_from(at).ok());
                class = Some(ClassId(place.ok_or("unknown class")?));
            }
            b"t" => tenant = TenantId(place(&names.tenants).ok_or("unknown tenant")? as u32),
            b"d" => {
                let ms = text.parse().ok().filter(|ms| (0.0..=LONGEST_MS).contains(ms)).ok_or("bad time")?;
                let value = options.slice_ref(value);
                let start = value.as_ptr() as usize - options.as_ptr() as usize;
                time = Some((ms, start..start + value.len()));
            }
            b"k" | b"r" | b"size" | b"hint" => {}
            _ => return Err("unknown option"),
        }
    }
    let (ms, time_at) = time.ok_or("no time")?;
    Ok(IncomingRequest {
        class: class.ok_or("no class")?,
        tenant,
        key: Some(Key(number)),
        received,
        time_limit: Duration::from_secs_f64(ms / 1e3),
        memory: None,
        call: Rc::new(Call {
            command: words[0].clone(),
            key: key.clone(),
            id: id.clone(),
            options: options.clone(),
            time_at,
            value: words.get(4).cloned(),
        }),
    })
}
