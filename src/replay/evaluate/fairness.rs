//! Fair queueing under one organisation far above its rate.
