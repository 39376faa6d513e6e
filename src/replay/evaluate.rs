//! Runs traces against policies in virtual time.
