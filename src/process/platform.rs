//! Client of the object API.
