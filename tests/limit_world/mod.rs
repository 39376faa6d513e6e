//! Model of the processes of one ledger group. A schedule of steps delivers their
//! messages, loses them, and makes processes and the object API fail.

mod delivery;

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

use quickcheck::{
    Arbitrary,
    Gen, //
};
use yuccalatch::{
    names::{
        Incarnation,
        Name, //
    },
    process::limits::{
        ledger::Ledger,
        message::{
            Directive,
            Epoch,
            HolderId,
            HolderReport,
            RateAndBurst, //
        },
        participant::Participant,
        rate_limiter::{
            RateLimiter,
            TakeOutcome,
            WaiterId, //
        }, //
    },
};

pub(crate) const SLOTS: usize = 4;
/// Above this many undelivered messages, half as many of the first are lost.
const MAX_IN_FLIGHT: usize = 32;
const LIMITS: RateAndBurst = RateAndBurst {
    rate_tokens_per_s: 1_000,
    burst_tokens: 2_000,
};

/// One random event; `choice` and `size` mean different things per action.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    action: u8,
    slot: usize,
    choice: usize,
    size: u64,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            action: u8::arbitrary(g) % 32,
            slot: usize::arbitrary(g) % SLOTS,
            choice: usize::from(u16::arbitrary(g)),
            size: u64::arbitrary(g) % 1_000,
        }
    }
}

/// An undelivered message; the number is the slot of its receiver.
#[derive(Clone)]
pub(crate) enum Message {
    Ledger(usize, HolderReport),
    Delegate(usize, HolderReport),
    Holder(usize, Directive),
}

/// Token bucket of the whole organisation, from which every admitted token is
/// charged; panics when it goes below zero.
struct ReferenceBucket {
    limits: RateAndBurst,
    level_microtokens: i128,
    filled_at_us: u64,
}

impl ReferenceBucket {
    fn charge(&mut self, tokens: i128, now_us: u64) {
        let refill_microtokens =
            u128::from(self.limits.rate_tokens_per_s) * u128::from(now_us - self.filled_at_us);
        let capacity_microtokens = i128::from(self.limits.burst_tokens) * 1_000_000;
        self.filled_at_us = now_us;
        self.level_microtokens += i128::try_from(refill_microtokens).unwrap();
        self.level_microtokens = (self.level_microtokens.min(capacity_microtokens)
            - tokens * 1_000_000)
            .min(capacity_microtokens);
        assert!(
            self.level_microtokens >= 0,
            "admitted {} microtokens above the limit at {now_us} us",
            -self.level_microtokens
        );
    }
}

pub(crate) struct World {
    pub(crate) organisation: Name,
    pub(crate) participants: Vec<Option<Participant>>,
    pub(crate) paused: [bool; SLOTS],
    registered: BTreeSet<usize>,
    pub(crate) messages: Vec<Message>,
    /// Admitted requests: slot, incarnation, tokens.
    reserved: Vec<(usize, u64, u64)>,
    /// Waiting requests: slot, incarnation, identifier, tokens.
    waiting: Vec<(usize, u64, WaiterId, u64)>,
    reference: ReferenceBucket,
    /// Limits of the newest revision.
    configured_limits: RateAndBurst,
    revision: u64,
    pub(crate) epoch: Epoch,
    next_incarnation: u64,
    pub(crate) now_us: u64,
    pub(crate) admitted_tokens: u64,
    has_limit_changes: bool,
    /// Whether the settings of all processes name the slots.
    has_slots_in_settings: bool,
    /// Whether the object API is down.
    pub(crate) is_api_down: bool,
}

fn slot_name(slot: usize) -> Name {
    format!("entry-{slot}").into()
}

fn slot_index(name: &Name) -> usize {
    name.trim_start_matches("entry-").parse().unwrap()
}

impl World {
    pub(crate) fn new(has_limit_changes: bool) -> Self {
        let mut world = Self::empty(has_limit_changes);
        (0..SLOTS).for_each(|slot| world.start(slot));
        world.settle();
        world
    }

    /// Starts all processes while the object API is down, with settings that
    /// name all slots.
    pub(crate) fn in_outage() -> Self {
        let mut world = Self::empty(false);
        world.has_slots_in_settings = true;
        world.is_api_down = true;
        (0..SLOTS).for_each(|slot| world.start(slot));
        world
    }

    fn empty(has_limit_changes: bool) -> Self {
        Self {
            organisation: "acme".into(),
            participants: (0..SLOTS).map(|_| None).collect(),
            paused: [false; SLOTS],
            registered: BTreeSet::new(),
            messages: Vec::new(),
            reserved: Vec::new(),
            waiting: Vec::new(),
            reference: ReferenceBucket {
                limits: LIMITS,
                level_microtokens: i128::from(LIMITS.burst_tokens) * 1_000_000,
                filled_at_us: 0,
            },
            configured_limits: LIMITS,
            revision: 1,
            epoch: Epoch::default(),
            next_incarnation: 1,
            now_us: 0,
            admitted_tokens: 0,
            has_limit_changes,
            has_slots_in_settings: false,
            is_api_down: false,
        }
    }

    pub(crate) fn start(&mut self, slot: usize) {
        let id = HolderId {
            slot: slot_name(slot),
            incarnation: Incarnation(self.next_incarnation),
        };
        self.next_incarnation += 1;
        let mut participant = Participant::new(id, 0);
        if self.has_slots_in_settings {
            participant.holder().set_slots_digest(1);
        }
        if !self.is_api_down && self.registered.insert(slot) {
            // A process reads the epoch after it has registered its slot.
            participant.observe_epoch(&self.epoch);
        }
        self.participants[slot] = Some(participant);
        self.paused[slot] = false;
    }

    pub(crate) fn become_ledger(&mut self, slot: usize) {
        if let Some(participant) = &mut self.participants[slot] {
            let number = self.epoch.acquired + 1;
            self.epoch = Epoch::acquired(number, participant.holder().id().clone());
            let slots = (0..SLOTS)
                .filter(|slot| self.has_slots_in_settings || self.registered.contains(slot));
            let slots = slots.map(slot_name).collect();
            participant.become_ledger(Ledger::new(0, self.epoch.clone(), slots));
        }
        self.set_up_ledger(slot);
    }

    pub(crate) fn become_provisional_ledger(&mut self, slot: usize) {
        if let Some(participant) = &mut self.participants[slot] {
            participant.become_provisional_ledger((0..SLOTS).map(slot_name).collect());
        }
        self.set_up_ledger(slot);
    }

    fn set_up_ledger(&mut self, slot: usize) {
        let participant = self.participants[slot].as_mut();
        if let Some(ledger) = participant.and_then(Participant::ledger) {
            ledger.set_limits(
                &self.organisation,
                self.configured_limits,
                self.revision,
                self.now_us,
            );
            ledger.set_delegates(vec![slot_name(slot), slot_name((slot + 1) % SLOTS)]);
        }
    }

    /// Takes a provisional epoch while the object API is down, otherwise acquires
    /// one.
    fn take_over(&mut self, slot: usize) {
        if self.is_api_down {
            self.become_provisional_ledger(slot);
        } else {
            self.become_ledger(slot);
        }
    }

    /// Starts or ends an outage of the object API, or registers a slot after the
    /// outage.
    fn change_outage(&mut self, step: &Step) {
        if !self.has_slots_in_settings {
            return;
        }
        if step.choice.is_multiple_of(2) {
            self.is_api_down = !self.is_api_down;
        } else if !self.is_api_down && !self.paused[step.slot] {
            self.registered.insert(step.slot);
            if let Some(participant) = &mut self.participants[step.slot] {
                participant.observe_epoch(&self.epoch);
            }
        }
    }

    fn change_limits(&mut self, step: &Step) {
        if !self.has_limit_changes {
            return;
        }
        self.revision += 1;
        self.configured_limits = RateAndBurst {
            rate_tokens_per_s: 500 + step.size,
            burst_tokens: 1_000 + 2 * u64::try_from(step.choice % 1_000).unwrap(),
        };
        self.reference.charge(0, self.now_us);
        let limits = &mut self.reference.limits;
        limits.rate_tokens_per_s = limits
            .rate_tokens_per_s
            .max(self.configured_limits.rate_tokens_per_s);
        limits.burst_tokens = limits.burst_tokens.max(self.configured_limits.burst_tokens);
        for participant in self.participants.iter_mut().flatten() {
            if let Some(ledger) = participant.ledger() {
                ledger.set_limits(
                    &self.organisation,
                    self.configured_limits,
                    self.revision,
                    self.now_us,
                );
            }
        }
    }

    /// Sets the reference limits to the newest ones once a ledger reports them in
    /// force.
    fn check_in_force(&mut self) {
        let mut ledgers = self
            .participants
            .iter_mut()
            .flatten()
            .filter_map(Participant::ledger);
        let is_in_force = ledgers
            .any(|ledger| *ledger.epoch() == self.epoch && ledger.is_in_force(&self.organisation));
        if is_in_force {
            self.reference.charge(0, self.now_us);
            self.reference.limits = self.configured_limits;
            self.reference.charge(0, self.now_us);
        }
    }

    pub(crate) fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.now_us += step.size * 50;
            self.step(step);
            self.retry_waiting();
            self.check_in_force();
            self.check_shares();
        }
    }

    /// Checks that the shares of all holders and ledgers never add up to more than
    /// the limits, including shares that are unused or not lent yet.
    pub(crate) fn check_shares(&mut self) {
        let (organisation, now_us) = (self.organisation.clone(), self.now_us);
        let participants = self.participants.iter_mut().flatten();
        let amounts = participants.map(|participant| {
            let rate_limiter = participant.holder().rate_limiter(&organisation, now_us);
            let ledger = participant.ledger();
            let unlent = ledger.map(|ledger| ledger.unlent(&organisation));
            rate_limiter.amount().plus(unlent.unwrap_or_default())
        });
        let sum = amounts.fold(RateAndBurst::default(), RateAndBurst::plus);
        let excess = sum.minus(self.reference.limits);
        assert!(
            excess.is_zero(),
            "shares add up to {excess:?} more than the limits"
        );
    }

    /// Lets the buckets fill, then requests tokens on all slots in decreasing
    /// sizes, to spend all that is admitted.
    pub(crate) fn admit_all(&mut self, wait_us: u64) {
        self.now_us += wait_us;
        for cost_tokens in [500, 100, 20, 1] {
            for slot in 0..SLOTS {
                for _ in 0..5 {
                    self.admit(slot, cost_tokens);
                }
            }
        }
    }

    fn step(&mut self, step: &Step) {
        let slot = step.slot;
        match step.action {
            0 if step.choice.is_multiple_of(2) => self.start(slot),
            1 => self.paused[slot] = !self.paused[slot],
            2 if step.choice.is_multiple_of(3) => self.take_over(slot),
            3 => self.remove(slot, step.choice),
            4 if self.has_slots_in_settings => self.change_outage(step),
            4 => self.change_limits(step),
            5 if step.choice.is_multiple_of(2) => self.admit_all(step.size * 2_000),
            5 => self.refund(step),
            6 => drop(self.take_message(step.choice)),
            7 => self.deliver(step.choice, true),
            8..=11 => self.tick(slot),
            12..=15 => self.report(slot, step.choice),
            // The busy slot changes over time, so that shares have to be moved.
            0 | 16..=20 => self.admit(self.busy_slot(slot), step.size),
            _ => self.deliver(step.choice, false),
        }
    }

    /// Stops the process of a slot, removes a stopped slot from the platform's
    /// list, or registers a running one.
    fn remove(&mut self, slot: usize, choice: usize) {
        if choice.is_multiple_of(2) {
            self.participants[slot] = None;
            return;
        }
        if self.is_api_down {
            return;
        }
        if self.participants[slot].is_some() {
            self.register_at_ledgers(slot);
            return;
        }
        self.registered.remove(&slot);
        for participant in self.participants.iter_mut().flatten() {
            if let Some(ledger) = participant.ledger() {
                ledger.remove_slot(&slot_name(slot), self.now_us);
            }
        }
    }

    fn register_at_ledgers(&mut self, slot: usize) {
        for participant in self.participants.iter_mut().flatten() {
            if let Some(ledger) = participant.ledger() {
                ledger.add_slot(slot_name(slot));
            }
        }
    }

    fn busy_slot(&self, slot: usize) -> usize {
        let period = usize::try_from(self.now_us / 2_000_000).unwrap();
        if slot == 0 { 0 } else { period % SLOTS }
    }

    /// Returns the process of a slot unless it is paused.
    fn running(&mut self, slot: usize) -> Option<&mut Participant> {
        let is_paused = self.paused[slot];
        self.participants[slot].as_mut().filter(|_| !is_paused)
    }

    pub(crate) fn rate_limiter(&mut self, slot: usize) -> Option<(Arc<RateLimiter>, u64)> {
        let (now_us, organisation) = (self.now_us, self.organisation.clone());
        let holder = self.running(slot)?.holder();
        Some((
            holder.rate_limiter(&organisation, now_us),
            holder.id().incarnation.0,
        ))
    }

    pub(crate) fn admit(&mut self, slot: usize, cost_tokens: u64) {
        let now_us = self.now_us;
        let Some((rate_limiter, incarnation)) = self.rate_limiter(slot) else {
            return;
        };
        let expires_at_us = now_us + 1_000_000;
        match rate_limiter.take(cost_tokens, LIMITS.rate_tokens_per_s, expires_at_us, now_us) {
            TakeOutcome::Taken => self.charge(slot, incarnation, cost_tokens),
            TakeOutcome::Waiting { waiter_id, .. } => {
                self.waiting
                    .push((slot, incarnation, waiter_id, cost_tokens));
            }
            TakeOutcome::Refused => {}
        }
    }

    fn charge(&mut self, slot: usize, incarnation: u64, cost_tokens: u64) {
        self.admitted_tokens += cost_tokens;
        self.reserved.push((slot, incarnation, cost_tokens));
        self.reference.charge(i128::from(cost_tokens), self.now_us);
    }

    fn retry_waiting(&mut self) {
        for (slot, incarnation, waiter_id, cost_tokens) in std::mem::take(&mut self.waiting) {
            let rate_limiter = self.rate_limiter(slot);
            let Some((rate_limiter, _)) =
                rate_limiter.filter(|(_, running_incarnation)| *running_incarnation == incarnation)
            else {
                continue;
            };
            match rate_limiter.retry(waiter_id, self.now_us) {
                TakeOutcome::Taken => self.charge(slot, incarnation, cost_tokens),
                TakeOutcome::Waiting { .. } => {
                    self.waiting
                        .push((slot, incarnation, waiter_id, cost_tokens));
                }
                TakeOutcome::Refused => {}
            }
        }
    }

    fn refund(&mut self, step: &Step) {
        if self.reserved.is_empty() {
            return;
        }
        let index = step.choice % self.reserved.len();
        let (slot, incarnation, reserved_tokens) = self.reserved.swap_remove(index);
        let unused_tokens = reserved_tokens * step.size / 1_000;
        let Some((rate_limiter, running_incarnation)) = self.rate_limiter(slot) else {
            return;
        };
        if running_incarnation == incarnation {
            rate_limiter.put_back(unused_tokens, self.now_us);
            self.reference
                .charge(-i128::from(unused_tokens), self.now_us);
        }
    }

    /// Starts all processes and runs without faults until no transfer is open.
    pub(crate) fn settle(&mut self) {
        self.paused = [false; SLOTS];
        for slot in 0..SLOTS {
            if self.participants[slot].is_none() {
                self.start(slot);
            }
        }
        self.take_over(0);
        self.run_rounds(60, 0);
    }

    pub(crate) fn run_rounds(&mut self, count: u64, cost_tokens: u64) {
        for _ in 0..count {
            self.now_us += 100_000;
            if cost_tokens > 0 {
                (0..SLOTS).for_each(|slot| self.admit(slot, cost_tokens));
            }
            (0..SLOTS).for_each(|slot| self.report(slot, slot));
            (0..SLOTS).for_each(|slot| self.tick(slot));
            self.deliver_all();
            self.check_in_force();
        }
    }
}
