//! What an engine holds in its prompt cache.
