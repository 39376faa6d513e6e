//! Guards against streams that arrive incomplete or out of order without an error.

use bytes::Bytes;
use quickcheck::{
    Gen,
    QuickCheck, //
};
use yuccalatch::{
    connection::{
        frame::{
            Frame,
            ResponseHead, //
        },
        liveness::{
            HeartbeatAction,
            HeartbeatTimer, //
        },
        reassembly::{
            ACKNOWLEDGE_BYTES,
            Reassembly,
            ResponsePart, //
        },
        retention::{
            Cursor,
            MAX_CHUNK_BYTES,
            MAX_RETAINED_BYTES,
            ResumeRefusal,
            RetainedResponse, //
        },
    },
    error::ErrorKind,
    names::Incarnation, //
};

fn head() -> ResponseHead {
    ResponseHead {
        status: 200,
        headers: Vec::new(),
        matched_blocks: 0,
        prompt_blocks: 1,
        engine_incarnation: Incarnation(1),
        queued_us: 0,
        version: "v1".into(),
        leaving: false,
    }
}

fn responding_agent() -> RetainedResponse {
    let mut agent = RetainedResponse::new();
    agent.set_head(head());
    agent
}

/// An agent, an entry and an unreliable connection between them.
struct Link {
    agent: RetainedResponse,
    entry: Reassembly,
    cursor: Cursor,
    sent: Vec<u8>,
    received: Vec<u8>,
    is_in_order: bool,
    old_frames: Vec<Frame>,
    old_acknowledgements: Vec<u64>,
}

impl Link {
    fn new() -> Self {
        let mut agent = responding_agent();
        let cursor = agent.resume(0).unwrap();
        Self {
            agent,
            entry: Reassembly::new(),
            cursor,
            sent: Vec::new(),
            received: Vec::new(),
            is_in_order: true,
            old_frames: Vec::new(),
            old_acknowledgements: Vec::new(),
        }
    }

    fn write(&mut self, length: usize) {
        if self.agent.can_push() {
            let start = self.sent.len();
            let data: Vec<u8> = (start..start + length).map(|at| (at % 251) as u8).collect();
            self.sent.extend_from_slice(&data);
            self.agent.push(data.into()).unwrap();
        }
    }

    fn reconnect(&mut self) {
        self.cursor = self.agent.resume(self.entry.next_sequence()).unwrap();
    }

    /// Passes a frame to the entry; a refused frame closes the connection.
    fn accept(&mut self, frame: Frame) {
        match self.entry.accept(frame) {
            Ok(ResponsePart::Data(data)) => {
                self.is_in_order &= self.sent[self.received.len()..].starts_with(&data);
                self.received.extend_from_slice(&data);
            }
            Ok(_) => {}
            Err(_) => self.reconnect(),
        }
    }

    /// Returns the next frame of the connection.
    ///
    /// A late frame of an old connection may bring the entry ahead of this one. The
    /// agent then refuses to send from here, and the entry resumes.
    fn next_frame(&mut self) -> Option<Frame> {
        let frame = self.agent.next_frame(&mut self.cursor);
        frame.unwrap_or_else(|_| {
            self.reconnect();
            self.agent.next_frame(&mut self.cursor).unwrap()
        })
    }

    fn deliver(&mut self) -> bool {
        let Some(frame) = self.next_frame() else {
            return false;
        };
        self.old_frames.push(frame.clone());
        self.accept(frame);
        true
    }

    fn step(&mut self, action: u8, value: u16) {
        let value = usize::from(value);
        match action % 8 {
            0 => self.write(value),
            1 | 2 => {
                self.deliver();
            }
            // A frame is lost in transit.
            3 => drop(self.next_frame()),
            4 => self.reconnect(),
            5 if !self.old_frames.is_empty() => {
                let late = self.old_frames[value % self.old_frames.len()].clone();
                self.accept(late);
            }
            6 => match self.entry.take_acknowledgement() {
                Some(_) if value.is_multiple_of(2) => self.entry.record_lost_acknowledgement(),
                Some(next) => {
                    self.agent.acknowledge(next).unwrap();
                    self.old_acknowledgements.push(next);
                }
                None => {}
            },
            7 if !self.old_acknowledgements.is_empty() => {
                let late = self.old_acknowledgements[value % self.old_acknowledgements.len()];
                self.agent.acknowledge(late).unwrap();
            }
            _ => {}
        }
    }

    fn is_consistent(&self) -> bool {
        self.is_in_order && self.agent.retained_bytes() <= MAX_RETAINED_BYTES
    }

    fn drain(&mut self) {
        self.reconnect();
        while self.deliver() {}
    }
}

/// Guards against lost, repeated or reordered bytes under random interleavings of
/// lost frames, duplicates, reconnections and late acknowledgements.
#[test]
fn interleavings_reassemble_exactly() {
    fn property(steps: Vec<(u8, u16)>, fails: bool) -> bool {
        let mut link = Link::new();
        for (action, value) in steps {
            link.step(action, value);
            if !link.is_consistent() {
                return false;
            }
        }
        if fails {
            link.agent.fail(ErrorKind::TargetFailed);
        } else {
            link.agent.finish();
        }
        link.drain();
        let next = link.entry.take_acknowledgement().unwrap();
        link.agent.acknowledge(next).unwrap();
        link.entry.is_ended() && link.received == link.sent && link.agent.is_delivered()
    }
    let random = Gen::from_size_and_seed(300, 31);
    QuickCheck::new()
        .tests(400)
        .rng(random)
        .quickcheck(property as fn(Vec<(u8, u16)>, bool) -> bool);
}

/// Guards against a deadlock in which the agent's buffer is full while the entry does
/// not send an acknowledgement yet.
#[test]
fn acknowledgements_prevent_stalls() {
    for length in [0, 1, 100, MAX_CHUNK_BYTES] {
        let mut link = Link::new();
        for _ in 0..40_000 / (1 + length / 1_000) {
            let before = link.agent.next_sequence();
            while link.agent.can_push() {
                link.write(length);
            }
            assert!(
                link.agent.next_sequence() > before,
                "stalled at {before} with {length}"
            );
            while link.deliver() {}
            if let Some(next) = link.entry.take_acknowledgement() {
                link.agent.acknowledge(next).unwrap();
            }
            if link.agent.next_sequence() > 40_000 {
                break;
            }
        }
    }
}

/// Guards against an acknowledgement for every single chunk and against none at all.
#[test]
fn acknowledgements_come_at_intervals() {
    let mut entry = Reassembly::new();
    entry.accept(Frame::Head(head())).unwrap();
    let data = Bytes::from(vec![0; ACKNOWLEDGE_BYTES / 2 - 64]);
    for sequence in 0..2 {
        assert_eq!(entry.take_acknowledgement(), None);
        let data = data.clone();
        entry.accept(Frame::Chunk { sequence, data }).unwrap();
    }
    assert_eq!(entry.take_acknowledgement(), Some(2));
    assert_eq!(entry.take_acknowledgement(), None);
    entry.accept(Frame::End { chunks: 2 }).unwrap();
    assert_eq!(entry.take_acknowledgement(), Some(2));
}

/// Guards against streams that count as complete although a part is missing.
#[test]
fn bad_frames_are_refused() {
    let chunk = |sequence| Frame::Chunk {
        sequence,
        data: Bytes::from_static(b"a"),
    };
    let mut entry = Reassembly::new();
    assert!(entry.accept(chunk(0)).is_err());
    entry.accept(Frame::Head(head())).unwrap();
    assert!(entry.accept(chunk(1)).is_err());
    entry.accept(chunk(0)).unwrap();
    assert!(entry.accept(Frame::End { chunks: 2 }).is_err());
    assert!(entry.accept(Frame::End { chunks: 0 }).is_err());
    assert!(!entry.is_ended());
    let other = ResponseHead {
        status: 500,
        ..head()
    };
    assert!(entry.accept(Frame::Head(other)).is_err());
    entry.accept(Frame::End { chunks: 1 }).unwrap();
    assert!(entry.accept(chunk(1)).is_err());
    let failed = Frame::Failed {
        kind: ErrorKind::TargetFailed,
    };
    assert!(entry.accept(failed).is_err());
}

/// Guards against resuming from a chunk that the agent has dropped or not received
/// yet, so that bytes would be missing.
#[test]
fn resume_with_missing_chunks_is_refused() {
    let mut agent = responding_agent();
    for _ in 0..3 {
        agent.push(Bytes::from_static(b"a")).unwrap();
    }
    let mut old = agent.resume(0).unwrap();
    agent.acknowledge(2).unwrap();
    assert!(agent.acknowledge(4).is_err());
    let released = ResumeRefusal::Released { first: 2 };
    assert_eq!(agent.resume(1), Err(released));
    assert_eq!(agent.resume(4), Err(ResumeRefusal::Ahead { next: 3 }));
    assert!(matches!(
        agent.next_frame(&mut old),
        Ok(Some(Frame::Head(_)))
    ));
    assert_eq!(agent.next_frame(&mut old), Err(released));
}

/// Guards against a silent connection that is detected late, and against a live one
/// that is taken for silent.
#[test]
fn three_missed_heartbeats_mark_silence() {
    let mut timer = HeartbeatTimer::new(0);
    timer.record_received(400_000);
    timer.record_sent(1_600_000);
    assert_eq!(
        timer.poll(1_899_999),
        HeartbeatAction::Wait {
            until_us: 1_900_000
        }
    );
    assert_eq!(timer.poll(1_900_000), HeartbeatAction::Silent);
    timer.record_received(1_900_000);
    assert_eq!(timer.poll(2_100_000), HeartbeatAction::SendHeartbeat);
    timer.record_received(1_000_000);
    assert_ne!(timer.poll(3_399_999), HeartbeatAction::Silent);
}
