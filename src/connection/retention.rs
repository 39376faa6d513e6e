//! Chunks that an agent keeps until the entry has acknowledged them.
