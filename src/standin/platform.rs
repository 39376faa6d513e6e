//! Stand-in of the object API.
