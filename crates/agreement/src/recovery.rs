//! Recovers the state of the log from a store.
use crate::{
    hard_state::HardState,
    message::LogSnapshot,
    segment::{LogItem, Segment},
    store::Store,
    types::{Entry, Revision, StampedEntry},
};
use bytes::Bytes;
use serde::de::DeserializeOwned;

/// The decoded content of a store.
pub(crate) struct RecoveredState<E> {
    pub(crate) hard_state: HardState,
    pub(crate) accepted: Vec<StampedEntry<E>>,
    pub(crate) snapshot: Option<LogSnapshot>,
    /// The committed items after the snapshot.
    pub(crate) items: Vec<LogItem<E>>,
}

/// The reason why the state cannot be recovered from a store.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RecoveryError<E: std::error::Error> {
    #[error(transparent)]
    Store(E),
    #[error("stored {kind} cannot be read: {source}")]
    Undecodable { kind: &'static str, source: postcard::Error },
    #[error("store has no items between revisions {after} and {first}")]
    Gap { after: Revision, first: Revision },
}

impl<E> RecoveredState<E> {
    /// The state of a new store.
    pub(crate) fn empty(founding: &Segment, random: &mut fastrand::Rng) -> Self {
        let hard_state = HardState::new(random.u64(1..), founding.clone());
        RecoveredState { hard_state, accepted: Vec::new(), snapshot: None, items: Vec::new() }
    }
}

/// Loads the state from the store, or creates a new state if the store is empty.
pub(crate) fn recover<E: Entry, S: Store>(
    store: &mut S, founding: &Segment, random: &mut fastrand::Rng,
) -> Result<RecoveredState<E>, RecoveryError<S::Error>> {
    let stored = store.load().map_err(RecoveryError::Store)?;
    let Some(hard_state) = stored.hard_state else { return Ok(RecoveredState::empty(founding, random)) };
    let mut hard_state: HardState = decode("head", &hard_state)?;
    hard_state.epoch += 1;
    let accepted = stored.accepted.iter().map(|bytes| decode("accepted entry", bytes));
    let accepted = accepted.collect::<Result<_, _>>()?;
    let snapshot: Option<LogSnapshot> =
        stored.snapshot.as_ref().map(|bytes| decode("snapshot", bytes)).transpose()?;
    let snapshot_revision = snapshot.as_ref().map_or(0, |snapshot| snapshot.revision);
    let mut first = None;
    let mut items = Vec::new();
    for (revision, bytes) in (stored.first_revision..).zip(&stored.items) {
        if revision > snapshot_revision {
            first.get_or_insert(revision);
            items.push(decode("item", bytes)?);
        }
    }
    match first {
        Some(first) if first != snapshot_revision + 1 => {
            Err(RecoveryError::Gap { after: snapshot_revision, first })
        }
        _ => Ok(RecoveredState { hard_state, accepted, snapshot, items }),
    }
}

fn decode<T: DeserializeOwned, E: std::error::Error>(
    kind: &'static str, bytes: &Bytes,
) -> Result<T, RecoveryError<E>> {
    postcard::from_bytes(bytes).map_err(|source| RecoveryError::Undecodable { kind, source })
}
