//! This balancer's proposals that are under way: repeated under the same name until they are decided or given up.
use crate::{
    Micros, NodeId, PROPOSAL_TIMEOUT_US, ProposalOutcome, Revision, message::What, segment::Exchange,
};

/// When a proposal is sent again, in microseconds: longer than a decision takes.
const AGAIN_US: Micros = 300_000;

pub(crate) struct Proposal<E> {
    pub(crate) name: u64,
    pub(crate) after: Revision,
    pub(crate) what: What<E>,
    /// Whose store's name has to be asked for first.
    pub(crate) asks: Option<NodeId>,
    pub(crate) tries: u32,
    made: Micros,
    next: Micros,
}

pub(crate) struct Proposals<E> {
    next: u64,
    under_way: Vec<Proposal<E>>,
}

impl<E> Proposals<E> {
    pub(crate) fn new(first: u64) -> Self {
        Proposals { next: first, under_way: Vec::new() }
    }
    pub(crate) fn count(&self) -> usize {
        self.under_way.len()
    }
    pub(crate) fn add(&mut self, now: Micros, after: Revision, what: What<E>, asks: Option<NodeId>) -> u64 {
        let name = self.next;
        self.next = self.next.wrapping_add(1);
        self.under_way.push(Proposal { name, after, what, asks, tries: 0, made: now, next: now });
        name
    }

    /// Those to send now.
    pub(crate) fn due(&mut self, now: Micros) -> impl Iterator<Item = &Proposal<E>> {
        self.under_way.iter_mut().filter_map(move |proposal| {
            (now >= proposal.next).then(|| {
                proposal.next = now + AGAIN_US;
                proposal.tries += 1;
                &*proposal
            })
        })
    }

    /// A store's name is known.
    pub(crate) fn store_is(&mut self, from: NodeId, generation: u64) {
        for proposal in self.under_way.iter_mut().filter(|proposal| proposal.asks == Some(from)) {
            if let What::Exchange(Exchange { taken_in: Some(member), .. }) = &mut proposal.what {
                member.generation = generation;
                proposal.asks = None;
                proposal.next = 0;
            }
        }
    }

    pub(crate) fn decided(&mut self, name: u64, revision: Revision) -> Option<(u64, ProposalOutcome)> {
        let place = self.under_way.iter().position(|proposal| proposal.name == name)?;
        self.under_way.swap_remove(place);
        Some((name, ProposalOutcome::Committed(revision)))
    }

    pub(crate) fn given_up(&mut self, now: Micros) -> Vec<(u64, ProposalOutcome)> {
        let late = |proposal: &mut Proposal<E>| now >= proposal.made + PROPOSAL_TIMEOUT_US;
        self.under_way
            .extract_if(.., late)
            .map(|proposal| (proposal.name, ProposalOutcome::TimedOut))
            .collect()
    }
}
