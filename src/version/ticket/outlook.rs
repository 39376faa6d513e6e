//! State after a ticket, as far as the checks look at it.

use std::{
    cell::OnceCell,
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr, //
};

use super::Ticket;
use crate::{
    names::{
        Digest,
        Name, //
    },
    version::config::{
        Fold,
        Key,
        Kind,
        Move,
        Object,
        ObjectId,
        Route,
        Target, //
    },
};

type RouteIndex<'a> = HashMap<(&'a str, Option<&'a Name>), Vec<&'a Route>>;

/// State after a ticket.
///
/// Indexes are built when an object of their kind is checked first, so that
/// the work for a ticket grows with its size and not with its square.
pub(super) struct Outlook<'a> {
    pub(super) fold: &'a Fold,
    set: BTreeMap<ObjectId, &'a Object>,
    removed: BTreeSet<&'a ObjectId>,
    digests: OnceCell<HashMap<Digest, Vec<&'a Name>>>,
    addresses: OnceCell<HashMap<SocketAddr, Vec<&'a Name>>>,
    routes: OnceCell<RouteIndex<'a>>,
    moves: OnceCell<HashMap<&'a Name, Vec<&'a Name>>>,
}

impl<'a> Outlook<'a> {
    pub(super) fn new(fold: &'a Fold, ticket: &'a Ticket) -> Self {
        Self {
            fold,
            set: ticket
                .set
                .iter()
                .map(|object| (object.id(), object))
                .collect(),
            removed: ticket.remove.iter().collect(),
            digests: OnceCell::new(),
            addresses: OnceCell::new(),
            routes: OnceCell::new(),
            moves: OnceCell::new(),
        }
    }

    /// Returns the state that an object will have.
    pub(super) fn get(&self, id: &ObjectId) -> Option<&'a Object> {
        if self.removed.contains(id) {
            return None;
        }
        let set = self.set.get(id).copied();
        set.or_else(|| self.fold.get(id).map(|entry| &entry.object))
    }

    /// Returns whether the ticket sets an object.
    pub(super) fn sets(&self, id: &ObjectId) -> bool {
        self.set.contains_key(id)
    }

    /// Iterates over the objects that refer to an object now and remain.
    pub(super) fn referrers(&self, id: &ObjectId) -> impl Iterator<Item = &'a Object> {
        let kept = self.fold.referrers(id);
        kept.filter_map(|referrer| self.get(referrer))
    }

    /// Returns another key with the same digest.
    pub(super) fn twin_key(&self, row: &Key) -> Option<&Name> {
        let stored = self.fold.key_of_digest(&row.digest).filter(|name| {
            let id = ObjectId::new(Kind::Key, (*name).clone());
            !self.removed.contains(&id) && !self.sets(&id)
        });
        let digests = self.digests.get_or_init(|| {
            let mut digests: HashMap<_, Vec<_>> = HashMap::new();
            for object in self.set.values() {
                if let Object::Key(key) = object {
                    digests.entry(key.digest).or_default().push(&key.name);
                }
            }
            digests
        });
        let set = digests.get(&row.digest).into_iter().flatten().copied();
        stored
            .into_iter()
            .chain(set)
            .find(|name| **name != row.name)
    }

    /// Returns another target that has one of the addresses.
    pub(super) fn rival_target(&self, row: &Target) -> Option<&Name> {
        let addresses = self.addresses.get_or_init(|| {
            let mut addresses: HashMap<_, Vec<_>> = HashMap::new();
            for object in self.of_kind(Kind::Target) {
                if let Object::Target(target) = object {
                    for address in [target.address, target.control_address] {
                        addresses.entry(address).or_default().push(&target.name);
                    }
                }
            }
            addresses
        });
        let owners = [row.address, row.control_address]
            .into_iter()
            .filter_map(|address| addresses.get(&address));
        owners.flatten().copied().find(|name| **name != row.name)
    }

    /// Returns another route that matches some of the same requests.
    pub(super) fn rival_route(&self, row: &Route) -> Option<&Name> {
        let routes = self.routes.get_or_init(|| {
            let mut routes: RouteIndex<'a> = HashMap::new();
            for object in self.of_kind(Kind::Route) {
                if let Object::Route(route) = object {
                    let place = (route.path_prefix.as_str(), route.model.as_ref());
                    routes.entry(place).or_default().push(route);
                }
            }
            routes
        });
        let place = (row.path_prefix.as_str(), row.model.as_ref());
        let rivals = routes.get(&place).into_iter().flatten();
        rivals
            .filter(|other| other.name != row.name)
            .find(|other| other.methods.iter().any(|m| row.methods.contains(m)))
            .map(|other| &other.name)
    }

    /// Returns another move of the same service.
    pub(super) fn rival_move(&self, row: &Move) -> Option<&Name> {
        let moves = self.moves.get_or_init(|| {
            let mut moves: HashMap<_, Vec<_>> = HashMap::new();
            for object in self.of_kind(Kind::Move) {
                if let Object::Move(other) = object {
                    moves.entry(&other.service).or_default().push(&other.name);
                }
            }
            moves
        });
        let rivals = moves.get(&row.service).into_iter().flatten().copied();
        rivals.into_iter().find(|name| **name != row.name)
    }

    /// Iterates over the objects of a kind as they will be.
    pub(super) fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &'a Object> {
        let kept = self.fold.of_kind(kind).map(|entry| &entry.object);
        let kept = kept.filter(|object| {
            let id = object.id();
            !self.removed.contains(&id) && !self.sets(&id)
        });
        let set = self.set.values().copied();
        kept.chain(set.filter(move |object| object.kind() == kind))
    }
}
