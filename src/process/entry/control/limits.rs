//! Shares of the organisations' limits: this entry as a holder and, for some
//! groups, as the ledger.

mod epoch;
mod messages;
mod provisional;
mod slots;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::Control;
use crate::{
    clock::US_PER_S,
    names::{
        Incarnation,
        Name, //
    },
    process::{
        limits::{
            message::{
                Epoch,
                HolderId,
                RateAndBurst, //
            },
            participant::Participant,
            rate_limiter::RateLimiter, //
        },
        membership::{
            Role,
            rendezvous::choose, //
        },
    },
    settings::EntrySettings,
    version::config::Config, //
};

/// Groups of organisations, each with a ledger of its own.
pub(super) const GROUPS: u16 = 64;

/// Interval between rounds of reports and ledger work.
const ROUND: Duration = Duration::from_millis(100);

/// Without a word from the ledger for this long, a holder asks a deputy.
const LEDGER_SILENT_US: u64 = US_PER_S;

/// Slots that keep a reserve for the time without a ledger.
const DEPUTIES: usize = 2;

/// Returns the group of an organisation.
fn group_of(organisation: &str) -> u16 {
    // The remainder is below the number of groups, which fits.
    u16::try_from(xxh3_64(organisation.as_bytes()) % u64::from(GROUPS)).unwrap_or(0)
}

/// Returns a digest of the slots that the settings name; zero without any.
fn digest_of_slots(slots: &BTreeSet<Name>) -> u64 {
    if slots.is_empty() {
        return 0;
    }
    let names: Vec<&str> = slots.iter().map(|slot| &**slot).collect();
    // A name has no line break.
    xxh3_64(names.join("\n").as_bytes()).max(1)
}

/// One group as this entry sees it.
struct Group {
    participant: Participant,
    ledger_silent_at_us: u64,
}

/// Limits of all organisations at this entry.
pub(super) struct Limits {
    id: HolderId,
    groups: RefCell<BTreeMap<u16, Group>>,
    /// Slots that may hold shares, as registered in the object API.
    slots: RefCell<BTreeSet<Name>>,
    /// Slots of the fleet as the settings name them; may be empty.
    entry_slots: BTreeSet<Name>,
    slots_digest: u64,
    is_registered: Cell<bool>,
    /// Whether the present epochs were read, or cannot be read now.
    takes_part: Cell<bool>,
    revision: Cell<u64>,
    is_leaving: Cell<bool>,
}

/// Meters by organisation, for the traffic threads.
pub(in crate::process::entry) type RateLimiters = HashMap<Name, Arc<RateLimiter>>;

impl Limits {
    pub(super) fn new(settings: &EntrySettings, incarnation: Incarnation) -> Self {
        let slot = settings.name.clone();
        let entry_slots: BTreeSet<Name> = settings.entry_slots.iter().cloned().collect();
        Self {
            id: HolderId { slot, incarnation },
            groups: RefCell::default(),
            slots: RefCell::default(),
            slots_digest: digest_of_slots(&entry_slots),
            entry_slots,
            is_registered: Cell::new(false),
            takes_part: Cell::new(false),
            revision: Cell::new(0),
            is_leaving: Cell::new(false),
        }
    }

    /// Hands back all shares.
    fn leave(&self) {
        self.is_leaving.set(true);
        for group in self.groups.borrow_mut().values_mut() {
            group.participant.holder().leave();
        }
    }

    /// Returns whether nothing is left to hand back.
    fn is_empty(&self) -> bool {
        let mut groups = self.groups.borrow_mut();
        groups
            .values_mut()
            .all(|group| group.participant.holder().is_empty())
    }

    /// Returns whether this entry is the ledger of a group.
    fn has_ledger(&self) -> bool {
        let groups = self.groups.borrow();
        groups.values().any(|group| group.participant.has_ledger())
    }

    /// Applies the limits of a configuration and returns the meters.
    fn configure(&self, config: &Config, now_us: u64) -> RateLimiters {
        let mut rate_limiters = RateLimiters::new();
        let mut groups = self.groups.borrow_mut();
        for (_, organisation) in config.organisations() {
            let number = group_of(&organisation.name);
            let group = groups
                .entry(number)
                .or_insert_with(|| self.group(number, now_us));
            let rate_limiter = group
                .participant
                .holder()
                .rate_limiter(&organisation.name, now_us);
            rate_limiters.insert(organisation.name.clone(), rate_limiter);
        }
        drop(groups);
        self.set_limits(config, now_us);
        rate_limiters
    }

    fn group(&self, number: u16, now_us: u64) -> Group {
        let mut participant = Participant::new(self.id.clone(), number);
        participant.holder().set_slots_digest(self.slots_digest);
        Group {
            participant,
            ledger_silent_at_us: now_us + LEDGER_SILENT_US,
        }
    }

    /// Tells the ledgers of this entry what the configuration allows.
    fn set_limits(&self, config: &Config, now_us: u64) {
        let mut groups = self.groups.borrow_mut();
        for (_, organisation) in config.organisations() {
            let group = groups.get_mut(&group_of(&organisation.name));
            let Some(ledger) = group.and_then(|group| group.participant.ledger()) else {
                continue;
            };
            let limits = RateAndBurst {
                rate_tokens_per_s: organisation.rate_tokens_per_s,
                burst_tokens: organisation.burst_tokens,
            };
            ledger.set_limits(&organisation.name, limits, config.revision(), now_us);
        }
    }
}

impl Control {
    /// Takes part in the limit protocol until the process ends.
    pub(super) async fn share_limits(self: Rc<Self>) {
        ntex::rt::spawn(Rc::clone(&self).keep_epochs());
        loop {
            let now_us = self.context.clock.now_us();
            self.apply_limits(now_us);
            if self.context.is_leaving() && !self.limits.is_leaving.get() {
                self.limits.leave();
            }
            if self.limits.takes_part.get() {
                self.run_ledgers(now_us);
                self.report_to_ledgers(now_us);
            }
            let is_released = self.limits.is_leaving.get() && self.limits.is_empty();
            self.context.set_shares_released(is_released);
            tokio::time::sleep(ROUND).await;
        }
    }

    fn apply_limits(&self, now_us: u64) {
        let config = self.context.config.load_full();
        if config.revision() == self.limits.revision.get() {
            return;
        }
        self.limits.revision.set(config.revision());
        let rate_limiters = self.limits.configure(&config, now_us);
        self.context.rate_limiters.store(Arc::new(rate_limiters));
    }

    /// Returns the highest epoch of a group that this entry has seen.
    fn followed_epoch(&self, group: u16) -> Epoch {
        let mut groups = self.limits.groups.borrow_mut();
        let group = groups.get_mut(&group);
        group
            .map(|group| group.participant.holder().epoch().clone())
            .unwrap_or_default()
    }

    /// Returns whether a process runs as far as membership tells.
    fn is_serving(&self, process: &HolderId) -> bool {
        let fleet = self.fleet.borrow();
        let mut serving = fleet.members.serving(Role::Entry);
        serving
            .any(|report| report.name == process.slot && report.incarnation == process.incarnation)
    }

    /// Returns the entry that should be the ledger of a group.
    fn preferred_ledger(&self, group: u16) -> Option<Name> {
        let fleet = self.fleet.borrow();
        let serving = fleet.members.serving(Role::Entry);
        let names: Vec<Name> = serving.map(|report| report.name.clone()).collect();
        let key = format!("ledger-{group}");
        choose(&key, names.iter(), 1).into_iter().next()
    }

    /// Returns the deputies of a group: other entries than the ledger, of
    /// another data centre where there is one.
    fn deputies(&self, group: u16, ledger: &Name) -> Vec<Name> {
        let fleet = self.fleet.borrow();
        let entries: Vec<(Name, Name)> = fleet
            .members
            .serving(Role::Entry)
            .map(|report| (report.name.clone(), report.data_centre.clone()))
            .collect();
        let find = |name: &Name| entries.iter().find(|(own, _)| own == name);
        let home = find(ledger).map(|(_, data_centre)| data_centre.clone());
        let others = entries.iter().filter(|(name, _)| name != ledger);
        let (abroad, near): (Vec<_>, Vec<_>) =
            others.partition(|(_, data_centre)| Some(data_centre) != home.as_ref());
        let pool = if abroad.is_empty() { near } else { abroad };
        let names: Vec<Name> = pool.into_iter().map(|(name, _)| name.clone()).collect();
        choose(&format!("deputy-{group}"), names.iter(), DEPUTIES)
    }
}
