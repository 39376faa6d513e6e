//! Completion request bodies: checks, token counts and limits.
