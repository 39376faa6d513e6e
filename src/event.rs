//! Numbered log events. The catalogue for operators is `docs/events.md`.
//!
//! The meaning of a number never changes, and the number of a retired event is not
//! used again.

use std::fmt;

macro_rules! events {
    ($($(#[$doc:meta])* $event:ident = $code:literal;)*) => {
        /// Every event that the programs log.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Event {
            $($(#[$doc])* $event = $code,)*
        }

        impl Event {
            /// All events, in numeric order.
            pub const ALL: &'static [Self] = &[$(Self::$event,)*];

            /// Returns the name that the catalogue lists.
            ///
            /// ```
            /// use yuccalatch::event::Event;
            ///
            /// assert_eq!(Event::Started.name(), "Started");
            /// ```
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$event => stringify!($event),)*
                }
            }
        }
    };
}

events! {
    /// A process has started and listens.
    Started = 1001;
    /// A process begins a graceful stop.
    Stopping = 1002;
    /// A process has finished its graceful stop.
    Stopped = 1003;
    /// A process, or a part of it, cannot continue.
    Fatal = 1004;
    /// The settings in force stay, because the file has not changed or cannot be
    /// read.
    SettingsKept = 1005;
    /// Changed settings are in force.
    SettingsReloaded = 1006;
    /// The traffic thread of an entry got no processor time.
    ThreadStalled = 1007;
    /// A request was answered.
    RequestDone = 2001;
    /// A request was refused.
    RequestRefused = 2002;
    /// A request failed after it had started.
    RequestFailed = 2003;
    /// An attempt failed and the request is tried again.
    AttemptRetried = 2004;
    /// A target was chosen for a request.
    TargetChosen = 2005;
    /// Requests with a part of their prompts are refused, because engines crashed on
    /// it.
    PartQuarantined = 2006;
    /// Connections were closed to keep the limits.
    CallersClosed = 2007;
    /// A stream was resumed on a new connection.
    StreamResumed = 3001;
    /// A stream was continued on another target.
    StreamContinued = 3002;
    /// A connection missed its heartbeats.
    ConnectionSilent = 3003;
    /// An attempt was cancelled before it started.
    AttemptBarred = 3004;
    /// A configuration revision was applied.
    RevisionApplied = 4001;
    /// A configuration update was rejected.
    RevisionRejected = 4002;
    /// API keys cannot be verified, because the entry may have missed withdrawals.
    KeysStale = 4003;
    /// Another entry has a later configuration than this one.
    RevisionKnown = 4004;
    /// Requests are refused, because the configuration has been outdated for too long.
    RevisionOutdated = 4005;
    /// The configuration is no longer outdated.
    RevisionCurrent = 4006;
    /// Neither the object store nor another entry answers this entry.
    EntryIsolated = 4007;
    /// The object store or another entry answers this entry again.
    EntryConnected = 4008;
    /// An entry took over a limit ledger.
    LedgerTaken = 5001;
    /// An entry gave up a limit ledger.
    LedgerLost = 5002;
    /// The share of a holder that is gone was reclaimed.
    ShareReclaimed = 5003;
    /// A target or entry joined.
    MemberJoined = 6001;
    /// A target or entry is leaving.
    MemberLeaving = 6002;
    /// A target or entry is gone.
    MemberGone = 6003;
    /// An engine restarted with an empty cache.
    EngineRestarted = 6004;
    /// Events of an engine's cache were lost.
    CacheEventsLost = 6005;
    /// An engine does not answer the agent beside it.
    EngineSilent = 6006;
    /// An engine answers the agent beside it again.
    EngineAnswers = 6007;
    /// A data centre is evacuated: its targets get no new requests.
    DataCentreEvacuated = 6008;
    /// A data centre is no longer evacuated.
    DataCentreRestored = 6009;
    /// A target is cold and gets few requests.
    TargetCold = 6010;
    /// A target is no longer cold.
    TargetWarm = 6011;
    /// A move changed its state.
    MoveChanged = 7001;
    /// A version was removed from traffic.
    VersionCut = 7002;
    /// An order with an old fencing number was refused.
    OrderFenced = 7003;
    /// The versions of an engine are restored after the end of a move.
    VersionsRestored = 7004;
    /// The operator has requested other weights.
    WeightsWanted = 7005;
    /// An agent has ordered its engine to load weights.
    WeightsOrdered = 7006;
    /// The object API stopped answering.
    PlatformDown = 8001;
    /// The object API answers again.
    PlatformUp = 8002;
    /// An import from the KV store or an export to it failed.
    KvStoreFailed = 8003;
    /// This entry receives changes in the object store from other entries and does
    /// not watch it itself.
    StoreLeftToOthers = 8004;
    /// Exchanges with other entries fail.
    ExchangesFail = 8005;
    /// A stand-in injects a fault.
    FaultInjected = 9001;
}

impl Event {
    /// Returns the number of the event.
    ///
    /// ```
    /// use yuccalatch::event::Event;
    ///
    /// assert_eq!(Event::Started.code(), 1001);
    /// ```
    pub const fn code(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "YL{}", self.code())
    }
}

impl slog::Value for Event {
    fn serialize(
        &self,
        _record: &slog::Record<'_>,
        key: slog::Key,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        serializer.emit_arguments(key, &format_args!("{self}"))
    }
}
