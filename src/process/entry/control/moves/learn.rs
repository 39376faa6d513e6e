//! Moves that an entry learns from its peers when it starts.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use futures_util::future::join_all;
use jsonrpsee::ws_client::WsClient;
use slog::warn;

use super::Control;
use crate::{
    clock::US_PER_S,
    event::Event,
    process::{
        membership::Role,
        rpc::PeerApiClient, //
    },
    version::rollout::known::{
        KnownMove,
        checksum, //
    },
};

/// Pause between rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// Time after which an entry serves the configured versions, when neither the
/// object API nor a peer knows the moves: all of them have restarted.
const LEARN_WITHIN_US: u64 = 5 * US_PER_S;

/// Entries, and agents, that are asked in a round besides those of the settings.
/// Several are asked because one of them may be behind.
const ASKED: usize = 4;

impl Control {
    /// Asks peers until the moves are known, from them or from the object API.
    pub(in super::super) async fn learn_moves(self: Rc<Self>) {
        let deadline_us = self.context.clock.now_us() + LEARN_WITHIN_US;
        while !self.context.knows_moves() {
            let addresses = self.asked_for_moves();
            let calls = addresses.iter().map(|address| self.ask_for_moves(*address));
            let answers: Vec<Vec<KnownMove>> =
                join_all(calls).await.into_iter().flatten().collect();
            if !answers.is_empty() {
                answers.into_iter().flatten().for_each(|known| {
                    self.learn_move(known);
                });
                self.note_moves_known();
            } else if self.context.clock.now_us() >= deadline_us && self.context.has_config() {
                warn!(self.context.log, "no peer knows the moves";
                    "event" => Event::MoveChanged);
                self.context.set_knows_moves();
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn asked_for_moves(&self) -> BTreeSet<SocketAddr> {
        let fleet = self.fleet.borrow();
        let mut addresses: BTreeSet<SocketAddr> =
            self.context.settings.peers.iter().copied().collect();
        for role in [Role::Entry, Role::Target] {
            let members = fleet.members.live(role);
            addresses.extend(members.take(ASKED).map(|report| report.control_address));
        }
        addresses.remove(&self.address);
        addresses
    }

    async fn ask_for_moves(&self, address: SocketAddr) -> Option<Vec<KnownMove>> {
        let call = async |client: &WsClient| client.moves().await;
        let answer = self.peer_connections.call(address, call).await.ok()?;
        answer.0
    }

    fn learn_move(self: &Rc<Self>, known: KnownMove) {
        self.apply_move(known.current);
        if let Some(cut) = &known.cut {
            self.take_cut(cut);
        }
    }

    /// Notes that the moves applied here are those of the object API or a peer.
    pub(super) fn note_moves_known(&self) {
        self.moves.is_known.set(true);
        self.context.set_knows_moves();
    }

    /// Returns the moves for a peer; `None` while they are not known here.
    pub(in super::super) fn known_moves(&self) -> Option<Vec<KnownMove>> {
        if !self.moves.is_known.get() {
            return None;
        }
        let states = self.moves.states.borrow();
        let moves = states.values().map(|state| {
            let local = state.live.lock();
            KnownMove {
                current: local.current().clone(),
                cut: local.cut().cloned(),
            }
        });
        Some(moves.collect())
    }

    /// Returns the moves for an agent that holds others.
    pub(in super::super) fn moves_unknown_to(&self, held: Option<u64>) -> Option<Vec<KnownMove>> {
        let moves = self.known_moves()?;
        (held != Some(checksum(&moves))).then_some(moves)
    }
}
