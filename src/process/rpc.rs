//! Control messages between processes of the system.
