//! The conserved shares of [`crate::process::limits`], with message delivery.

use std::sync::Arc;

use super::{
    simulation::{
        Policy,
        Queue, //
    },
    workload::{
        ENTRIES,
        Incident,
        ORGANISATIONS,
        Request,
        Workload, //
    },
};
use crate::{
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
        rate_limiter::RateLimiter, //
    },
};

pub(super) const NAME: &str = "conserved_shares";

const REPORT_US: u64 = 200_000;
const TICK_US: u64 = 100_000;
/// A shortage that the ledger does not end is repeated, also to deputies.
const ASK_AGAIN_US: u64 = 10_000;
const FIRST_LEDGER: usize = 0;
const NEXT_LEDGER: usize = 1;
const DEPUTIES: [usize; 2] = [1, 2];

pub(super) enum Event {
    /// Regular report of an entry.
    Report(usize),
    /// Work of the ledger, if the entry has one.
    Tick(usize),
    /// Repeated request for tokens of an entry with waiting requests.
    Ask(usize),
    ToLedger(usize, Box<HolderReport>),
    ToDeputy(usize, Box<HolderReport>),
    ToHolder(usize, Box<Directive>),
}

impl Event {
    const fn entry(&self) -> usize {
        match self {
            Self::Report(entry)
            | Self::Tick(entry)
            | Self::Ask(entry)
            | Self::ToLedger(entry, _)
            | Self::ToDeputy(entry, _)
            | Self::ToHolder(entry, _) => *entry,
        }
    }
}

pub(super) struct ConservedShares {
    participants: Vec<Participant>,
    names: Vec<Name>,
    limits: [RateAndBurst; ORGANISATIONS],
    paused_until_us: [u64; ENTRIES],
    is_asking: [bool; ENTRIES],
    ledger: usize,
    epoch: u64,
    revision: u64,
    next_incarnation: u64,
}

impl ConservedShares {
    pub(super) fn new(workload: &Workload) -> Self {
        let mut policy = Self {
            participants: Vec::new(),
            names: (0..ORGANISATIONS)
                .map(|index| format!("organisation-{index}").into())
                .collect(),
            limits: workload.limits,
            paused_until_us: [0; ENTRIES],
            is_asking: [false; ENTRIES],
            ledger: FIRST_LEDGER,
            epoch: 0,
            revision: 1,
            next_incarnation: 0,
        };
        for entry in 0..ENTRIES {
            let participant = policy.participant(entry);
            policy.participants.push(participant);
        }
        policy.lead(FIRST_LEDGER, 0);
        policy
    }

    fn participant(&mut self, entry: usize) -> Participant {
        self.next_incarnation += 1;
        let id = HolderId {
            slot: slot(entry),
            incarnation: Incarnation(self.next_incarnation),
        };
        Participant::new(id, 0)
    }

    fn lead(&mut self, entry: usize, now_us: u64) {
        self.epoch += 1;
        self.ledger = entry;
        let id = self.participants[entry].holder().id().clone();
        let epoch = Epoch::acquired(self.epoch, id);
        let mut ledger = Ledger::new(0, epoch, (0..ENTRIES).map(slot).collect());
        for (name, &limits) in self.names.iter().zip(&self.limits) {
            ledger.set_limits(name, limits, self.revision, now_us);
        }
        ledger.set_delegates(DEPUTIES.into_iter().map(slot).collect());
        self.participants[entry].become_ledger(ledger);
    }

    fn report(&mut self, entry: usize, queue: &mut Queue<Event>) {
        if let Some(report) = self.participants[entry].holder().next_report(queue.now_us) {
            queue.send(Event::ToLedger(self.ledger, Box::new(report)));
        }
    }

    /// Asks the deputies, or returns what was granted; whether any was asked.
    fn ask_deputies(&mut self, entry: usize, queue: &mut Queue<Event>) -> bool {
        let mut has_asked = false;
        for deputy in DEPUTIES.into_iter().filter(|&deputy| deputy != entry) {
            let incarnation = self.participants[deputy].holder().id().incarnation;
            let holder = self.participants[entry].holder();
            if let Some(report) = holder.next_delegate_report(incarnation, queue.now_us) {
                has_asked = true;
                queue.send(Event::ToDeputy(deputy, Box::new(report)));
            }
        }
        has_asked
    }

    fn send_all(&self, directives: Vec<Directive>, queue: &mut Queue<Event>) {
        for directive in directives {
            let to = (0..ENTRIES).find(|&entry| slot(entry) == directive.slot);
            if let Some(to) = to {
                queue.send(Event::ToHolder(to, Box::new(directive)));
            }
        }
    }

    fn ask(&mut self, entry: usize, queue: &mut Queue<Event>) {
        self.is_asking[entry] = false;
        if self.ask_deputies(entry, queue) {
            self.report(entry, queue);
            self.is_asking[entry] = true;
            queue.schedule(queue.now_us + ASK_AGAIN_US, Event::Ask(entry));
        }
    }
}

fn slot(entry: usize) -> Name {
    format!("entry-{entry}").into()
}

impl Policy for ConservedShares {
    type Event = Event;

    fn name(&self) -> &'static str {
        NAME
    }

    fn start(&mut self, queue: &mut Queue<Event>) {
        for entry in 0..ENTRIES {
            queue.schedule(1, Event::Report(entry));
            queue.schedule(TICK_US, Event::Tick(entry));
        }
    }

    fn rate_limiter(&mut self, entry: usize, organisation: usize, now_us: u64) -> Arc<RateLimiter> {
        let name = &self.names[organisation];
        self.participants[entry].holder().rate_limiter(name, now_us)
    }

    fn on_waiting(&mut self, request: &Request, queue: &mut Queue<Event>) {
        let entry = request.entry;
        if !self.is_asking[entry] {
            self.is_asking[entry] = true;
            self.report(entry, queue);
            queue.schedule(queue.now_us + ASK_AGAIN_US, Event::Ask(entry));
        }
    }

    fn on_event(&mut self, event: Event, queue: &mut Queue<Event>) -> Option<usize> {
        let now_us = queue.now_us;
        let entry = event.entry();
        if now_us < self.paused_until_us[entry] {
            queue.schedule(self.paused_until_us[entry], event);
            return None;
        }
        let participant = &mut self.participants[entry];
        match event {
            Event::Report(_) => {
                self.report(entry, queue);
                if !self.is_asking[entry] {
                    self.ask_deputies(entry, queue);
                }
                queue.schedule(now_us + REPORT_US, Event::Report(entry));
            }
            Event::Tick(_) => {
                let directives = participant.ledger().map(|ledger| ledger.tick(now_us));
                self.send_all(directives.unwrap_or_default(), queue);
                queue.schedule(now_us + TICK_US, Event::Tick(entry));
            }
            Event::Ask(_) => self.ask(entry, queue),
            Event::ToLedger(_, report) => {
                let directives = participant.on_ledger_report(&report, now_us);
                self.send_all(directives, queue);
            }
            Event::ToDeputy(_, report) => {
                let directive = participant.on_delegate_report(&report, now_us);
                self.send_all(directive.into_iter().collect(), queue);
            }
            Event::ToHolder(_, directive) => {
                return participant
                    .on_directive(&directive, now_us)
                    .then_some(entry);
            }
        }
        None
    }

    fn on_incident(&mut self, incident: Incident, queue: &mut Queue<Event>) {
        match incident {
            Incident::Restart { entry } => {
                self.participants[entry] = self.participant(entry);
                self.is_asking[entry] = false;
            }
            Incident::Pause { entry, until_us } => self.paused_until_us[entry] = until_us,
            // An epoch can be acquired again.
            Incident::PlatformUp if !self.participants[self.ledger].has_ledger() => {
                self.lead(NEXT_LEDGER, queue.now_us);
            }
            Incident::SetLimits {
                organisation,
                limits,
            } => {
                self.revision += 1;
                self.limits[organisation] = limits;
                let (name, revision) = (&self.names[organisation], self.revision);
                if let Some(ledger) = self.participants[self.ledger].ledger() {
                    ledger.set_limits(name, limits, revision, queue.now_us);
                }
            }
            Incident::PlatformUp | Incident::PlatformDown => {}
        }
    }

    fn is_in_force(&mut self, organisation: usize) -> bool {
        let name = &self.names[organisation];
        let ledger = self.participants[self.ledger].ledger();
        ledger.is_some_and(|ledger| ledger.is_in_force(name))
    }
}
