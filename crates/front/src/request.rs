//! Parses a client's command into a request to the core, or into a command that the front answers itself.

use bytes::Bytes;
use decide::api::{ClassId, Key, TenantId};
use gateway::Call;
use gateway::engine::IncomingRequest;
use gateway::setup::Names;
use proto::resp::{Command, MAX_HEAD_BYTES};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// The longest time limit that a request may state: ten minutes, which is more than any class allows.
const MAX_TIME_LIMIT_MS: f64 = 600_000.0;
/// The number of words of a read: name, key, id and options.
const READ_WORDS: usize = 4;
/// The number of words of a write: name, key, id, options and value.
const WRITE_WORDS: usize = READ_WORDS + 1;

/// A parsed command.
#[derive(Debug)]
pub(crate) enum ParsedCommand {
    /// A request to the core.
    Request(IncomingRequest),
    /// `PING`.
    Ping,
    /// A command that is answered with a status and has no effect.
    Ok,
    /// `QUIT`: answered with a status, then the connection ends.
    Quit,
    /// An invalid command: answered with this error; the connection stays open.
    Invalid(InvalidCommand),
}

/// The reason why a command is invalid. The texts are part of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum InvalidCommand {
    #[error("unknown command")]
    UnknownCommand,
    #[error("wrong number of arguments")]
    WordCount,
    #[error("bad key")]
    Key,
    #[error("bad id or options")]
    IdOrOptions,
    #[error("bad options")]
    Options,
    #[error("unknown option")]
    UnknownOption,
    #[error("unknown class")]
    UnknownClass,
    #[error("unknown tenant")]
    UnknownTenant,
    #[error("bad time")]
    TimeLimit,
    #[error("no time")]
    NoTimeLimit,
    #[error("no class")]
    NoClass,
}

/// Parses a command whose last byte arrived at `received`.
#[must_use]
pub(crate) fn parse(command: &Command, names: &Names, received: Instant) -> ParsedCommand {
    let name = command.0[0].to_ascii_uppercase();
    match &name[..] {
        b"CACHE.GET" => parse_request(command, READ_WORDS, names, received),
        b"CACHE.SET" => parse_request(command, WRITE_WORDS, names, received),
        b"PING" => ParsedCommand::Ping,
        b"CLIENT" | b"SELECT" => ParsedCommand::Ok,
        b"QUIT" => ParsedCommand::Quit,
        _ => ParsedCommand::Invalid(InvalidCommand::UnknownCommand),
    }
}

/// Returns the class that a command states, if it is a valid request.
#[must_use]
pub(crate) fn class_of(command: &Command, names: &Names) -> Option<ClassId> {
    match parse(command, names, Instant::now()) {
        ParsedCommand::Request(incoming) => Some(incoming.class),
        _ => None,
    }
}

fn parse_request(command: &Command, words: usize, names: &Names, received: Instant) -> ParsedCommand {
    match build_request(command, words, names, received) {
        Ok(incoming) => ParsedCommand::Request(incoming),
        Err(error) => ParsedCommand::Invalid(error),
    }
}

fn build_request(
    command: &Command, words: usize, names: &Names, received: Instant,
) -> Result<IncomingRequest, InvalidCommand> {
    if command.0.len() != words {
        return Err(InvalidCommand::WordCount);
    }
    let (key, id, options) = (&command.0[1], &command.0[2], &command.0[3]);
    let key_number = parse_key(key).ok_or(InvalidCommand::Key)?;
    if !is_printable_word(id) || !is_printable_word(options) {
        return Err(InvalidCommand::IdOrOptions);
    }
    let head = &command.0[..READ_WORDS];
    if head.iter().map(Bytes::len).sum::<usize>() > MAX_HEAD_BYTES {
        return Err(InvalidCommand::IdOrOptions);
    }
    let parsed = Options::parse(options, names)?;
    let time_limit = parsed.time_limit.ok_or(InvalidCommand::NoTimeLimit)?;
    Ok(IncomingRequest {
        class: parsed.class.ok_or(InvalidCommand::NoClass)?,
        tenant: parsed.tenant,
        key: Some(Key(key_number)),
        received,
        time_limit: Duration::from_secs_f64(time_limit.ms / 1e3),
        memory: None,
        call: Rc::new(Call {
            command: command.0[0].clone(),
            key: key.clone(),
            id: id.clone(),
            options: options.clone(),
            time_limit_range: time_limit.position,
            value: command.0.get(READ_WORDS).cloned(),
        }),
    })
}

/// Parses a key: up to 16 hexadecimal digits.
fn parse_key(key: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(key).ok().filter(|_| key.iter().all(u8::is_ascii_hexdigit))?;
    u64::from_str_radix(text, 16).ok()
}

/// Returns whether this is one printable word. It becomes part of header lines to the origin, where a line end would
/// forge a header.
fn is_printable_word(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(u8::is_ascii_graphic)
}

/// The time limit of a request, and the position of its digits in the options.
struct TimeLimit {
    ms: f64,
    position: Range<usize>,
}

/// The options of a request that the balancer uses.
struct Options {
    class: Option<ClassId>,
    tenant: TenantId,
    time_limit: Option<TimeLimit>,
}

impl Options {
    /// Parses options of the form `name=value`, separated by commas.
    fn parse(text: &Bytes, names: &Names) -> Result<Self, InvalidCommand> {
        let mut options = Options { class: None, tenant: TenantId(0), time_limit: None };
        let mut start = 0;
        for option in text.split(|byte| *byte == b',') {
            options.parse_option(option, start, names)?;
            start += option.len() + 1;
        }
        Ok(options)
    }

    /// Parses one option, which starts at `start` in the text of all options.
    fn parse_option(&mut self, option: &[u8], start: usize, names: &Names) -> Result<(), InvalidCommand> {
        let equals = option.iter().position(|byte| *byte == b'=').ok_or(InvalidCommand::Options)?;
        let (name, value) = (&option[..equals], &option[equals + 1..]);
        let value = std::str::from_utf8(value).map_err(|_| InvalidCommand::Options)?;
        let index_in = |list: &[String]| list.iter().position(|item| item == value);
        match name {
            b"c" => {
                let index = index_in(&names.classes).and_then(|index| u8::try_from(index).ok());
                self.class = Some(ClassId(index.ok_or(InvalidCommand::UnknownClass)?));
            }
            b"t" => {
                let index = index_in(&names.tenants).ok_or(InvalidCommand::UnknownTenant)?;
                self.tenant = TenantId(index as u32);
            }
            b"d" => {
                let ms = value.parse().ok().filter(|ms| (0.0..=MAX_TIME_LIMIT_MS).contains(ms));
                let ms = ms.ok_or(InvalidCommand::TimeLimit)?;
                let position = start + equals + 1..start + option.len();
                self.time_limit = Some(TimeLimit { ms, position });
            }
            b"k" | b"r" | b"size" | b"hint" => {}
            _ => return Err(InvalidCommand::UnknownOption),
        }
        Ok(())
    }
}
