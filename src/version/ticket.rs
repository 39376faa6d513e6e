//! Numbered changes of the configuration.
