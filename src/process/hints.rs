//! What an entry has seen of the caches of targets.
