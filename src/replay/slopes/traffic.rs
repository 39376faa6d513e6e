//! Slopes of the request path: placement, caches, fates, frames.

use std::num::NonZeroUsize;

use bytes::{
    Bytes,
    BytesMut, //
};

use super::{
    Allocated,
    Slope,
    memory,
    time, //
};
use crate::{
    connection::frame::{
        Frame,
        decode,
        encode, //
    },
    names::{
        AttemptId,
        Incarnation, //
    },
    process::{
        at_most_once::{
            AttemptTable,
            AttemptTableLimits, //
        },
        cache_index::{
            CacheChange,
            CacheEvent,
            CacheIndex, //
        },
        hints::{
            CacheObservation,
            Hints, //
        },
    },
    request::{
        placement::{
            PlacementSettings,
            Placer,
            Target,
            TargetId,
            rendezvous_seed, //
        },
        prompt::{
            BlockHash,
            Namespace, //
        },
    },
};

const BLOCKS: [usize; 3] = [10_000, 20_000, 60_000];
const TARGETS: [usize; 4] = [12, 100, 400, 800];
const CHUNKS: [usize; 3] = [100, 1_000, 4_000];
const CAPACITY: NonZeroUsize = NonZeroUsize::new(100_000).unwrap();

/// Measures all slopes of the request path.
pub(super) fn measure(allocated: Allocated) -> Vec<Slope> {
    vec![
        memory(
            allocated,
            "cache index of an agent, bytes",
            "block",
            &BLOCKS,
            index,
        ),
        time(
            "cache events, us",
            "event",
            &CHUNKS,
            |n| (index(1), n),
            |(index, n)| {
                for number in 0..*n {
                    index.apply(&event(number as u64), 1);
                }
            },
        ),
        memory(allocated, "placement hints, bytes", "block", &BLOCKS, hints),
        memory(
            allocated,
            "fates of ended attempts, bytes",
            "attempt",
            &BLOCKS,
            attempt_table,
        ),
        time(
            "placement of a prompt of 20 blocks, us",
            "target of the model",
            &TARGETS,
            placement,
            |(placer, targets)| {
                let blocks: Vec<BlockHash> = (0..20).map(BlockHash).collect();
                let plan = placer.plan(&blocks, targets, &[], 1);
                std::hint::black_box(placer.decide(&plan, &blocks, targets, &[]));
            },
        ),
        time(
            "frames encoded and decoded, us",
            "chunk of 150 bytes",
            &CHUNKS,
            |n| n,
            |n| {
                let data = Bytes::from(vec![b'x'; 150]);
                let mut buffer = BytesMut::new();
                for sequence in 0..*n as u64 {
                    let frame = Frame::Chunk {
                        sequence,
                        data: data.clone(),
                    };
                    // A small frame always fits.
                    let _ = encode(&frame, &mut buffer);
                }
                while let Ok(Some(frame)) = decode(&mut buffer) {
                    std::hint::black_box(frame);
                }
            },
        ),
    ]
}

fn event(number: u64) -> CacheEvent {
    CacheEvent {
        engine: Incarnation(1),
        sequence: number,
        namespace: Namespace(7),
        change: CacheChange::Stored(vec![BlockHash(number)]),
    }
}

fn index(blocks: usize) -> CacheIndex {
    let mut index = CacheIndex::new(Incarnation(1), CAPACITY);
    for number in 0..blocks {
        index.apply(&event(number as u64), 0);
    }
    index
}

fn hints(blocks: usize) -> Hints {
    let mut hints = Hints::new(CAPACITY);
    for number in 0..blocks {
        let seen = CacheObservation {
            target: TargetId(1),
            engine: Incarnation(1),
            matched_blocks: 0,
            sent_at_us: 0,
        };
        hints.record_answer(&[BlockHash(number as u64)], seen, 1);
    }
    hints
}

fn attempt_table(attempts: usize) -> AttemptTable {
    let mut attempt_table = AttemptTable::new(Incarnation(1), AttemptTableLimits::default());
    for sequence in 0..attempts as u64 {
        let id = AttemptId {
            entry: Incarnation(2),
            sequence,
        };
        if let Ok(attempt) = attempt_table.admit(Incarnation(1), id) {
            attempt_table.cancel_queued(attempt);
        }
    }
    attempt_table
}

fn placement(targets: usize) -> (Placer, Vec<Target>) {
    let target = |number: u32| Target {
        id: TargetId(number),
        seed: rendezvous_seed(&format!("engine-{number}")),
        engine: Incarnation(1),
        queue_us: 0,
        block_us: 50_000,
        network_us: 1_000,
    };
    let count = u32::try_from(targets).unwrap_or(u32::MAX);
    let placer = Placer::new(PlacementSettings::default(), CAPACITY);
    (placer, (0..count).map(target).collect())
}
