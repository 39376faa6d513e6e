//! Messages of the limit protocol between entries.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use super::{
    Control,
    LEDGER_SILENT_US, //
};
use crate::{
    names::{
        Incarnation,
        Name, //
    },
    process::{
        limits::message::{
            Directive,
            Epoch,
            HolderReport, //
        },
        membership::Role,
        rpc::{
            EntryApiClient,
            LimitAnswer,
            LimitReport,
            Packed, //
        },
    },
};

impl Control {
    /// Lets the ledgers of this entry rebalance and repeat open messages.
    pub(super) fn run_ledgers(self: &Rc<Self>, now_us: u64) {
        self.add_known_slots();
        self.note_removed_slots();
        let deputies: Vec<(u16, Vec<Name>)> = {
            let groups = self.limits.groups.borrow();
            let led = groups
                .iter()
                .filter(|(_, group)| group.participant.has_ledger());
            led.map(|(number, _)| (*number, self.deputies(*number, &self.limits.id.slot)))
                .collect()
        };
        let mut outgoing = Vec::new();
        let mut groups = self.limits.groups.borrow_mut();
        for (number, deputies) in deputies {
            let ledger = groups
                .get_mut(&number)
                .and_then(|group| group.participant.ledger());
            if let Some(ledger) = ledger {
                ledger.set_delegates(deputies);
                outgoing.extend(ledger.tick(now_us));
            }
        }
        drop(groups);
        self.send_directives(outgoing, now_us);
    }

    /// Reports demand and shares to the ledgers, or to deputies while a ledger
    /// is silent.
    pub(super) fn report_to_ledgers(self: &Rc<Self>, now_us: u64) {
        let numbers: Vec<u16> = self.limits.groups.borrow().keys().copied().collect();
        for number in numbers {
            let Some(ledger) = self.present_ledger(number) else {
                continue;
            };
            self.ask_deputies(number, &ledger, now_us);
            let report = {
                let mut groups = self.limits.groups.borrow_mut();
                let group = groups.get_mut(&number);
                group.and_then(|group| group.participant.holder().next_report(now_us))
            };
            if let Some(report) = report {
                self.send_report(ledger, report, None, now_us);
            }
        }
    }

    fn ask_deputies(self: &Rc<Self>, number: u16, ledger: &Name, now_us: u64) {
        for delegate in self.deputies(number, ledger) {
            if delegate == self.limits.id.slot {
                continue;
            }
            let Some(incarnation) = self.incarnation(&delegate) else {
                continue;
            };
            let report = {
                let mut groups = self.limits.groups.borrow_mut();
                let silent = groups
                    .get_mut(&number)
                    .filter(|group| now_us >= group.ledger_silent_at_us);
                silent.and_then(|group| {
                    let holder = group.participant.holder();
                    holder.next_delegate_report(incarnation, now_us)
                })
            };
            if let Some(report) = report {
                self.send_report(delegate, report, Some(incarnation), now_us);
            }
        }
    }

    fn send_report(
        self: &Rc<Self>,
        slot: Name,
        report: HolderReport,
        delegate: Option<Incarnation>,
        now_us: u64,
    ) {
        let report = LimitReport { report, delegate };
        if slot == self.limits.id.slot {
            let answer = self.take_limit_report(&report);
            self.apply_directives(&answer.directives, now_us);
            self.note_answer(&report, &answer);
            return;
        }
        let Some(address) = self.control_address(&slot) else {
            return;
        };
        let control = Rc::clone(self);
        ntex::rt::spawn(async move {
            let call = control.peer_connections.call(address, async |client| {
                client.limits(Packed(report.clone())).await
            });
            // A lost report is repeated in the next round.
            if let Ok(Packed(answer)) = call.await {
                let now_us = control.context.clock.now_us();
                control.apply_directives(&answer.directives, now_us);
                control.note_answer(&report, &answer);
            }
        });
    }

    /// Follows the epoch that an answer names and notes an answer of a ledger.
    fn note_answer(&self, report: &LimitReport, answer: &LimitAnswer) {
        let silent_at_us = self.context.clock.now_us() + LEDGER_SILENT_US;
        let mut groups = self.limits.groups.borrow_mut();
        if let Some(group) = groups.get_mut(&report.report.group) {
            group.participant.observe_epoch(&answer.epoch);
            if answer.is_ledger {
                group.ledger_silent_at_us = silent_at_us;
            }
        }
    }

    /// Answers a report as the ledger or a deputy of its group.
    pub(in super::super) fn take_limit_report(&self, asked: &LimitReport) -> LimitAnswer {
        let now_us = self.context.clock.now_us();
        let mut groups = self.limits.groups.borrow_mut();
        let Some(group) = groups.get_mut(&asked.report.group) else {
            return LimitAnswer::default();
        };
        if asked.delegate == Some(self.limits.id.incarnation) {
            let directive = group.participant.on_delegate_report(&asked.report, now_us);
            return LimitAnswer {
                directives: directive.into_iter().collect(),
                epoch: group.participant.holder().epoch().clone(),
                is_ledger: false,
            };
        }
        LimitAnswer {
            directives: group.participant.on_ledger_report(&asked.report, now_us),
            epoch: group.participant.holder().epoch().clone(),
            is_ledger: group.participant.has_ledger(),
        }
    }

    /// Applies a directive of another entry and returns the epoch that this
    /// entry follows.
    pub(in super::super) fn take_directive(&self, directive: &Directive) -> Epoch {
        let now_us = self.context.clock.now_us();
        self.apply_directives(std::slice::from_ref(directive), now_us);
        let mut groups = self.limits.groups.borrow_mut();
        let group = groups.get_mut(&directive.group);
        group
            .map(|group| group.participant.holder().epoch().clone())
            .unwrap_or_default()
    }

    /// Applies directives that are meant for this entry.
    fn apply_directives(&self, directives: &[Directive], now_us: u64) {
        let mut has_share = false;
        let mut groups = self.limits.groups.borrow_mut();
        for directive in directives {
            if let Some(group) = groups.get_mut(&directive.group) {
                has_share |= group.participant.on_directive(directive, now_us);
            }
        }
        if has_share {
            self.context.shares_changed.notify_waiters();
        }
    }

    fn send_directives(self: &Rc<Self>, directives: Vec<Directive>, now_us: u64) {
        for directive in directives {
            if directive.slot == self.limits.id.slot {
                self.apply_directives(&[directive], now_us);
                continue;
            }
            let Some(address) = self.control_address(&directive.slot) else {
                continue;
            };
            let control = Rc::clone(self);
            let group = directive.group;
            ntex::rt::spawn(async move {
                let call = control.peer_connections.call(address, async |client| {
                    client.limit_directive(Packed(directive)).await
                });
                // The ledger repeats what is not acknowledged.
                if let Ok(Packed(epoch)) = call.await {
                    control.observe_epoch(group, &epoch);
                }
            });
        }
    }

    /// Follows an epoch that another entry or the object API names.
    pub(super) fn observe_epoch(&self, group: u16, epoch: &Epoch) {
        if let Some(state) = self.limits.groups.borrow_mut().get_mut(&group) {
            state.participant.observe_epoch(epoch);
        }
    }

    /// Returns the ledger of the epoch that this entry follows while its slot
    /// is present, otherwise the entry that should be the ledger.
    fn present_ledger(&self, group: u16) -> Option<Name> {
        let epoch = self.followed_epoch(group);
        let followed = Some(epoch.ledger.slot).filter(|slot| self.is_present(slot));
        followed.or_else(|| self.preferred_ledger(group))
    }

    fn control_address(&self, slot: &Name) -> Option<SocketAddr> {
        let fleet = self.fleet.borrow();
        let report = fleet.members.get(slot);
        report.map(|report| report.control_address)
    }

    fn incarnation(&self, slot: &Name) -> Option<Incarnation> {
        let fleet = self.fleet.borrow();
        fleet.members.get(slot).map(|report| report.incarnation)
    }

    fn is_present(&self, slot: &Name) -> bool {
        let fleet = self.fleet.borrow();
        let mut present = fleet.members.present(Role::Entry);
        present.any(|(report, _)| report.name == *slot)
    }
}
