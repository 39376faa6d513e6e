//! Settings of a running process, read again when their file changes.

use std::{
    path::PathBuf,
    sync::Arc, //
};

use arc_swap::ArcSwap;

use super::{
    Settings,
    read, //
};
use crate::error::Result;

/// Settings in force with the file that they come from.
///
/// ```
/// use yuccalatch::settings::{DirectAgentSettings, LiveSettings, default_text, parse};
///
/// let path = std::env::temp_dir().join(format!("live-{}.json", std::process::id()));
/// let text = default_text::<DirectAgentSettings>();
/// std::fs::write(&path, text.replace(r#""peers": []"#, r#""peers": ["127.0.0.1:7100"]"#)).unwrap();
/// let live = LiveSettings::new(parse::<DirectAgentSettings>("a.json", text).unwrap(), path.clone());
/// assert!(live.get().peers.is_empty());
/// assert!(live.reload().unwrap());
/// assert_eq!(live.get().peers.len(), 1);
/// assert!(!live.reload().unwrap());
/// std::fs::remove_file(path).unwrap();
/// ```
#[derive(Debug)]
pub struct LiveSettings<S> {
    path: PathBuf,
    current: ArcSwap<S>,
}

impl<S: PartialEq + Settings> LiveSettings<S> {
    /// Starts with settings that were read from a file.
    pub fn new(settings: S, path: PathBuf) -> Self {
        Self {
            path,
            current: ArcSwap::from_pointee(settings),
        }
    }

    /// Returns the settings in force.
    pub fn get(&self) -> Arc<S> {
        self.current.load_full()
    }

    /// Reads the file again. Returns whether the settings have changed.
    ///
    /// # Errors
    ///
    /// Returns the error of [`read`]; the settings in force stay.
    pub fn reload(&self) -> Result<bool> {
        let settings = read::<S>(&self.path)?;
        let is_new = *self.current.load_full() != settings;
        if is_new {
            self.current.store(Arc::new(settings));
        }
        Ok(is_new)
    }
}
