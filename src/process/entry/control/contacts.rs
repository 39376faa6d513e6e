//! Addresses of processes that are not known as members yet.

use std::{
    collections::VecDeque,
    net::SocketAddr, //
};

/// Addresses that are contacted in one round.
const CONTACTS_PER_ROUND: usize = 8;

/// Addresses kept beyond the seeds; the oldest are dropped.
const MAX_INTRODUCED: usize = 1_024;

/// Rounds in which an introduced address is contacted before it is dropped.
const MAX_TRIES: u32 = 4;

struct Introduced {
    address: SocketAddr,
    tries: u32,
}

/// Addresses to contact: the seeds of the settings without end, others for a
/// few rounds after they were named.
pub(super) struct Contacts {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    introduced: VecDeque<Introduced>,
    next_seed: usize,
}

impl Contacts {
    pub(super) fn new(seeds: Vec<SocketAddr>, own: SocketAddr) -> Self {
        Self {
            own,
            seeds,
            introduced: VecDeque::new(),
            next_seed: 0,
        }
    }

    /// Adds an address named by a peer, the platform or the configuration.
    /// Returns whether it is new.
    pub(super) fn introduce(&mut self, address: SocketAddr) -> bool {
        let is_known = |known: &Introduced| known.address == address;
        if address == self.own || self.introduced.iter().any(is_known) {
            return false;
        }
        self.introduced.push_back(Introduced { address, tries: 0 });
        if self.introduced.len() > MAX_INTRODUCED {
            self.introduced.pop_front();
        }
        true
    }

    /// Returns the addresses to contact now. Members are left out.
    pub(super) fn next(&mut self, is_member: impl Fn(&SocketAddr) -> bool) -> Vec<SocketAddr> {
        self.introduced
            .retain(|known| known.tries < MAX_TRIES && !is_member(&known.address));
        let mut chosen: Vec<SocketAddr> = Vec::new();
        for known in self.introduced.iter_mut().take(CONTACTS_PER_ROUND) {
            known.tries += 1;
            chosen.push(known.address);
        }
        let rotation = chosen.len().min(self.introduced.len());
        self.introduced.rotate_left(rotation);
        let unknown = |address: &SocketAddr| *address != self.own && !is_member(address);
        let seeds = self.seeds.len();
        let order = (0..seeds).map(|offset| self.seeds[(self.next_seed + offset) % seeds]);
        let seeds_now = order.filter(unknown).take(CONTACTS_PER_ROUND);
        chosen.extend(seeds_now);
        self.next_seed = self.next_seed.wrapping_add(CONTACTS_PER_ROUND);
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }
}
