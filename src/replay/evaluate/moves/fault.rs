//! Traffic and faults of the scenarios.

/// Requests per second of the whole service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Traffic {
    /// 120 requests per second.
    High,
    /// 10 requests per second; the quietest route has one.
    Low,
}

/// Part of the service's requests on each route.
pub const ROUTES: [(&str, f64); 3] = [("chat", 0.6), ("draft", 0.3), ("summary", 0.1)];

impl Traffic {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::High, Self::Low];

    /// Returns the name in tables.
    ///
    /// ```
    /// assert_eq!(yuccalatch::replay::evaluate::moves::fault::Traffic::Low.name(), "low");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::High => "high",
            Self::Low => "low",
        }
    }

    /// Returns requests per second of a route.
    ///
    /// ```
    /// use yuccalatch::replay::evaluate::moves::fault::Traffic;
    ///
    /// assert_eq!(Traffic::High.rate_per_s(0), 72.0);
    /// ```
    pub fn rate_per_s(self, route: usize) -> f64 {
        let total = match self {
            Self::High => 120.0,
            Self::Low => 10.0,
        };
        total * ROUTES[route].1
    }
}

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Every request fails from the start.
    AtOnce,
    /// Three requests in ten fail from the start.
    Partial,
    /// Half of the requests fail from 20 to 100 s after the first share.
    Later,
    /// Half of the requests fail from 10 s after the settling period began.
    Settling,
    /// Half of the requests fail while the version has 20% of the traffic or
    /// more.
    UnderLoad,
    /// Every request of the second route fails.
    OneRoute,
    /// First tokens take four times as long.
    SlowFirstToken,
    /// Tokens come at a third of the speed.
    SlowTokens,
}

/// State of a move that faults depend on.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Time since the first share, in milliseconds.
    pub shifting_ms: u64,
    /// Time since the settling period began, in milliseconds.
    pub settling_ms: Option<u64>,
    /// Share of the new version.
    pub share_permille: u16,
    /// When a late fault starts, in milliseconds since the first share.
    pub later_ms: u64,
    /// Route of the request.
    pub route: usize,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 8] = [
        Self::AtOnce,
        Self::Partial,
        Self::Later,
        Self::Settling,
        Self::UnderLoad,
        Self::OneRoute,
        Self::SlowFirstToken,
        Self::SlowTokens,
    ];

    /// Returns the name in tables.
    ///
    /// ```
    /// assert_eq!(yuccalatch::replay::evaluate::moves::fault::Fault::Later.name(), "later");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::AtOnce => "at_once",
            Self::Partial => "partial",
            Self::Later => "later",
            Self::Settling => "settling",
            Self::UnderLoad => "under_load",
            Self::OneRoute => "one_route",
            Self::SlowFirstToken => "slow_first_token",
            Self::SlowTokens => "slow_tokens",
        }
    }

    /// Returns whether the fault affects a request on the new version.
    pub fn is_active(self, at: Moment) -> bool {
        match self {
            Self::Later => at.shifting_ms >= at.later_ms,
            Self::Settling => at.settling_ms.is_some_and(|ms| ms >= 10_000),
            Self::UnderLoad => at.share_permille >= 200,
            Self::OneRoute => at.route == 1,
            Self::AtOnce | Self::Partial | Self::SlowFirstToken | Self::SlowTokens => true,
        }
    }

    /// Returns the part of affected requests that fail.
    ///
    /// ```
    /// assert_eq!(yuccalatch::replay::evaluate::moves::fault::Fault::AtOnce.error_rate(), 1.0);
    /// ```
    pub fn error_rate(self) -> f64 {
        match self {
            Self::AtOnce | Self::OneRoute => 1.0,
            Self::Partial => 0.3,
            Self::Later | Self::Settling | Self::UnderLoad => 0.5,
            Self::SlowFirstToken | Self::SlowTokens => 0.0,
        }
    }

    /// Returns the factors on the time to first token and between tokens.
    ///
    /// ```
    /// use yuccalatch::replay::evaluate::moves::fault::Fault;
    ///
    /// assert_eq!(Fault::SlowFirstToken.slowdown(), (4.0, 1.0));
    /// ```
    pub fn slowdown(self) -> (f64, f64) {
        match self {
            Self::SlowFirstToken => (4.0, 1.0),
            Self::SlowTokens => (1.0, 3.0),
            _ => (1.0, 1.0),
        }
    }
}
