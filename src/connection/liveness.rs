//! Heartbeats; three missed ones mark a connection as silent.

/// Time between two heartbeats, in microseconds.
pub const HEARTBEAT_US: u64 = 500_000;

/// Number of missed heartbeats that mark a connection as silent.
pub const MISSED_HEARTBEATS: u64 = 3;

/// What a connection needs at a point in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Nothing until the given monotonic time.
    Wait {
        /// When to ask again.
        until_us: u64,
    },
    /// Send a heartbeat, then call [`Liveness::sent`].
    SendHeartbeat,
    /// Close the connection, open a new one and resume.
    Silent,
}

/// Deadlines of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Liveness {
    send_at_us: u64,
    silent_at_us: u64,
}

impl Liveness {
    /// Starts to watch a connection.
    ///
    /// ```
    /// use yuccalatch::connection::liveness::{Action, Liveness};
    ///
    /// let mut liveness = Liveness::new(0);
    /// assert_eq!(liveness.poll(0), Action::Wait { until_us: 500_000 });
    /// assert_eq!(liveness.poll(500_000), Action::SendHeartbeat);
    /// liveness.sent(500_000);
    /// assert_eq!(liveness.poll(1_500_000), Action::Silent);
    /// ```
    pub const fn new(now_us: u64) -> Self {
        Self {
            send_at_us: now_us.saturating_add(HEARTBEAT_US),
            silent_at_us: now_us.saturating_add(MISSED_HEARTBEATS * HEARTBEAT_US),
        }
    }

    /// Notes that a complete frame has arrived; any frame proves that the
    /// connection is alive.
    pub fn received(&mut self, now_us: u64) {
        let silent_at_us = now_us.saturating_add(MISSED_HEARTBEATS * HEARTBEAT_US);
        self.silent_at_us = self.silent_at_us.max(silent_at_us);
    }

    /// Notes that a frame was sent; any frame replaces a heartbeat.
    pub fn sent(&mut self, now_us: u64) {
        let send_at_us = now_us.saturating_add(HEARTBEAT_US);
        self.send_at_us = self.send_at_us.max(send_at_us);
    }

    /// Returns what the connection needs now.
    ///
    /// Read what has already arrived first: after a pause of this process, the
    /// peer's heartbeats may still wait in the socket.
    pub const fn poll(&self, now_us: u64) -> Action {
        if now_us >= self.silent_at_us {
            return Action::Silent;
        }
        if now_us >= self.send_at_us {
            return Action::SendHeartbeat;
        }
        let until_us = if self.send_at_us < self.silent_at_us {
            self.send_at_us
        } else {
            self.silent_at_us
        };
        Action::Wait { until_us }
    }
}
