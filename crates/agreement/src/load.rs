//! Reads back what a store holds, or says what is wrong with it.
use crate::{
    Entry, Revision, Stamped, Store,
    journal::Head,
    message::Image,
    segment::{Item, Segment},
};
use bytes::Bytes;
use omnipaxos::ballot_leader_election::Ballot;
use serde::de::DeserializeOwned;

pub(crate) struct Loaded<E> {
    pub(crate) head: Head,
    pub(crate) accepted: Vec<Stamped<E>>,
    pub(crate) image: Option<Image>,
    /// Decided items and the revision of each.
    pub(crate) items: Vec<(Revision, Item<E>)>,
}

impl<E> Loaded<E> {
    pub(crate) fn empty(founding: &Segment, random: &mut fastrand::Rng) -> Self {
        let head = Head {
            generation: random.u64(1..),
            epoch: 1,
            writes: 0,
            founded: false,
            segment: founding.clone(),
            promise: Ballot::default(),
            accepted_round: Ballot::default(),
            decided: 0,
            stop: None,
            heard: Vec::new(),
            founders: Vec::new(),
        };
        Loaded { head, accepted: Vec::new(), image: None, items: Vec::new() }
    }
}

pub(crate) fn load<E: Entry, S: Store>(
    store: &mut S, founding: &Segment, random: &mut fastrand::Rng,
) -> Result<Loaded<E>, String> {
    let kept = store.load().map_err(|error| error.to_string())?;
    let Some(head) = kept.head else { return Ok(Loaded::empty(founding, random)) };
    let mut head: Head = decode("head", &head)?;
    head.epoch += 1;
    let accepted =
        kept.accepted.iter().map(|bytes| decode("accepted entry", bytes)).collect::<Result<_, _>>()?;
    let image: Option<Image> = kept.snapshot.as_ref().map(|bytes| decode("snapshot", bytes)).transpose()?;
    let behind = image.as_ref().map_or(0, |image| image.revision);
    let mut items = Vec::new();
    for (revision, bytes) in (kept.first_revision..).zip(&kept.items).filter(|item| item.0 > behind) {
        items.push((revision, decode("item", bytes)?));
    }
    if items.first().is_some_and(|item| item.0 != behind + 1) {
        return Err(format!(
            "store holds nothing of what lies between revisions {behind} and {}",
            items[0].0
        ));
    }
    Ok(Loaded { head, accepted, image, items })
}

fn decode<T: DeserializeOwned>(what: &str, bytes: &Bytes) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|error| format!("store holds {what} that cannot be read: {error}"))
}
