//! Prompt blocks and their chained hashes.
