//! Statistical comparison of a new version with the old one.
