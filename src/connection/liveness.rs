//! Heartbeats; a connection is silent after three missed ones.

/// Time between two heartbeats, in microseconds.
pub const HEARTBEAT_US: u64 = 500_000;

/// Number of missed heartbeats that mark a connection as silent.
pub const MISSED_HEARTBEATS: u64 = 3;

/// Next step that a connection needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatAction {
    /// Nothing until the given monotonic time.
    Wait {
        /// Time of the next call to [`HeartbeatTimer::poll`].
        until_us: u64,
    },
    /// Send a heartbeat, then call [`HeartbeatTimer::record_sent`].
    SendHeartbeat,
    /// Nothing was received in time: close the connection and resume on a new one.
    Silent,
}

/// Deadlines for sending and receiving on one connection.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatTimer {
    send_at_us: u64,
    silent_at_us: u64,
}

impl HeartbeatTimer {
    /// Starts both deadlines.
    ///
    /// ```
    /// use yuccalatch::connection::liveness::{HeartbeatAction, HeartbeatTimer};
    ///
    /// let mut timer = HeartbeatTimer::new(0);
    /// assert_eq!(timer.poll(0), HeartbeatAction::Wait { until_us: 500_000 });
    /// assert_eq!(timer.poll(500_000), HeartbeatAction::SendHeartbeat);
    /// timer.record_sent(500_000);
    /// assert_eq!(timer.poll(1_500_000), HeartbeatAction::Silent);
    /// ```
    pub const fn new(now_us: u64) -> Self {
        Self {
            send_at_us: now_us.saturating_add(HEARTBEAT_US),
            silent_at_us: now_us.saturating_add(MISSED_HEARTBEATS * HEARTBEAT_US),
        }
    }

    /// Records that a complete frame was received; a frame of any kind proves that
    /// the connection is alive.
    pub fn record_received(&mut self, now_us: u64) {
        let silent_at_us = now_us.saturating_add(MISSED_HEARTBEATS * HEARTBEAT_US);
        self.silent_at_us = self.silent_at_us.max(silent_at_us);
    }

    /// Records that a frame was sent; a frame of any kind replaces a heartbeat.
    pub fn record_sent(&mut self, now_us: u64) {
        let send_at_us = now_us.saturating_add(HEARTBEAT_US);
        self.send_at_us = self.send_at_us.max(send_at_us);
    }

    /// Returns the step that is due.
    ///
    /// Before this call, read all bytes that have already arrived: after a pause of
    /// this process, the peer's heartbeats may still be in the socket's buffer.
    pub const fn poll(&self, now_us: u64) -> HeartbeatAction {
        if now_us >= self.silent_at_us {
            return HeartbeatAction::Silent;
        }
        if now_us >= self.send_at_us {
            return HeartbeatAction::SendHeartbeat;
        }
        let until_us = if self.send_at_us < self.silent_at_us {
            self.send_at_us
        } else {
            self.silent_at_us
        };
        HeartbeatAction::Wait { until_us }
    }
}
