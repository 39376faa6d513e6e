//! Sending, losing, repeating and delivering messages between the processes.

use super::{
    Directive,
    MAX_IN_FLIGHT,
    Message,
    Participant,
    SLOTS,
    World,
    slot_index, //
};

impl World {
    pub(crate) fn tick(&mut self, slot: usize) {
        let now_us = self.now_us;
        let Some(ledger) = self.running(slot).and_then(Participant::ledger) else {
            return;
        };
        let directives = ledger.tick(now_us);
        self.send(directives);
    }

    pub(super) fn report(&mut self, slot: usize, choice: usize) {
        let now_us = self.now_us;
        let to = choice % SLOTS;
        let delegate = self.participants[to]
            .as_mut()
            .map(|peer| peer.holder().id().incarnation);
        let Some(participant) = self.running(slot) else {
            return;
        };
        if let Some(report) = participant.holder().next_report(now_us) {
            // Outdated ledgers receive reports too.
            let ledgers = (0..SLOTS).filter(|&to| self.has_ledger(to));
            let copies: Vec<Message> = ledgers
                .map(|to| Message::Ledger(to, report.clone()))
                .collect();
            self.messages.extend(copies);
        }
        let Some(delegate) = delegate.filter(|_| to != slot) else {
            return;
        };
        let delegate_report = self
            .running(slot)
            .unwrap()
            .holder()
            .next_delegate_report(delegate, now_us);
        self.messages
            .extend(delegate_report.map(|report| Message::Delegate(to, report)));
    }

    fn has_ledger(&self, slot: usize) -> bool {
        self.participants[slot]
            .as_ref()
            .is_some_and(Participant::has_ledger)
    }

    fn send(&mut self, directives: Vec<Directive>) {
        for directive in directives {
            self.messages
                .push(Message::Holder(slot_index(&directive.slot), directive));
        }
    }

    pub(super) fn take_message(&mut self, choice: usize) -> Option<Message> {
        // Messages beyond the bound are lost, so that most deliveries are recent.
        if self.messages.len() > MAX_IN_FLIGHT {
            self.messages.drain(..MAX_IN_FLIGHT / 2);
        }
        let count = self.messages.len();
        (count > 0).then(|| self.messages.swap_remove(choice % count))
    }

    pub(super) fn deliver(&mut self, choice: usize, keeps_copy: bool) {
        let now_us = self.now_us;
        let Some(message) = self.take_message(choice) else {
            return;
        };
        if keeps_copy {
            self.messages.push(message.clone());
        }
        let (Message::Ledger(slot, _) | Message::Delegate(slot, _) | Message::Holder(slot, _)) =
            &message;
        let Some(participant) = self.running(*slot) else {
            return;
        };
        let answers = match &message {
            Message::Ledger(_, report) => participant.on_ledger_report(report, now_us),
            Message::Delegate(_, report) => participant
                .on_delegate_report(report, now_us)
                .into_iter()
                .collect(),
            Message::Holder(_, directive) => {
                participant.on_directive(directive, now_us);
                Vec::new()
            }
        };
        self.send(answers);
    }

    pub(crate) fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            self.deliver(0, false);
        }
        self.retry_waiting();
    }

    /// Delivers all messages except those to one slot, which are lost.
    pub(crate) fn deliver_except(&mut self, unreachable_slot: usize) {
        self.messages.retain(|message| {
            let (Message::Ledger(slot, _) | Message::Delegate(slot, _) | Message::Holder(slot, _)) =
                message;
            *slot != unreachable_slot
        });
        self.deliver_all();
    }

    /// Sends a report of one slot to one ledger only.
    pub(crate) fn report_to(&mut self, slot: usize, ledger: usize) {
        let now_us = self.now_us;
        let holder = self.participants[slot].as_mut().unwrap().holder();
        let report = holder.next_report(now_us);
        self.messages
            .extend(report.map(|report| Message::Ledger(ledger, report)));
    }
}
