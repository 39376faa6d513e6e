//! Which failed attempts may be repeated, and where.
