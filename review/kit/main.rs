//! Stand-ins and scripts of the review. `review/build.sh` builds this program;
//! `review/N/run.sh` starts one of its cases.

mod client;
mod http;
mod json;
mod server;
mod store;
mod system;

mod crashing_part;
mod refused;
mod spoiled_event;
mod two_models;

use std::{
    env,
    path::{Path, PathBuf},
    sync::Arc,
};

use system::{Record, Scratch};

/// What a case needs.
pub struct Case {
    pub root: PathBuf,
    pub record: Arc<Record>,
    pub scratch: Scratch,
    /// Whether the disruption happens.
    pub has_trouble: bool,
}

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    let name = words.first().cloned().unwrap_or_default();
    if name == "engine" || name == "plain" {
        let address = words[2].parse().expect("address");
        server::run(&name, &words[1], address, &words[3..]);
    }
    let folder = PathBuf::from(words.get(1).expect("folder of the case"));
    let case = Case {
        root: env::current_dir().expect("repository"),
        record: Record::new(),
        scratch: Scratch::new(),
        has_trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let record = Arc::clone(&case.record);
    let is_kept = match name.as_str() {
        "crashing-part" => crashing_part::run(&case),
        "spoiled-event" => spoiled_event::run(&case, spoiled_event::Wrong::LaterId),
        "spoiled-first-event" => spoiled_event::run(&case, spoiled_event::Wrong::FirstId),
        "refused" => refused::run(&case, 503),
        "run-twice" => refused::run(&case, 408),
        "two-models" => two_models::run(&case),
        _ => {
            eprintln!("no such case: {name}");
            std::process::exit(2);
        }
    };
    drop(case);
    finish(&record, &folder, is_kept)
}

fn finish(record: &Record, folder: &Path, is_kept: bool) -> ! {
    record.add(if is_kept { "result: the rule held" } else { "result: the rule was broken" });
    record.write(folder);
    std::process::exit(i32::from(!is_kept))
}
