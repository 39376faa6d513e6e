//! Tables and texts for people.

use std::fmt::Write;

use super::status::{
    Explanation,
    FleetStatus, //
};
use crate::{
    names::Name,
    version::head::FiledTicket, //
};

const GAP: &str = "  ";

/// Rows of text under a header.
///
/// ```
/// use yuccalatch::operator::table::Table;
///
/// let mut table = Table::new(&["NAME", "SIZE"]);
/// table.row(["oak".to_owned(), "12".to_owned()]);
/// assert_eq!(table.render(), "NAME  SIZE\noak   12\n");
/// ```
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Starts a table with its header.
    pub fn new(header: &[&str]) -> Self {
        Self {
            rows: vec![header.iter().copied().map(str::to_owned).collect()],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows
            .push(cells.into_iter().map(|cell| printable(&cell)).collect());
    }

    /// Returns the text with aligned columns.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column);
                let _ = write!(line, "{cell:width$}{GAP}");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// Replaces control characters, which could change what a terminal shows.
fn printable(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}

/// Describes filed tickets, one on a line.
pub fn tickets(tickets: &[(FiledTicket, Option<u64>)]) -> String {
    let mut table = Table::new(&["TICKET", "REVISION", "AUTHOR", "SET", "REMOVED", "COMMENT"]);
    for (filed, revision) in tickets {
        let ticket = &filed.ticket;
        table.row([
            ticket.ticket.to_string(),
            revision.map_or("not accepted".to_owned(), |revision| revision.to_string()),
            ticket.author.to_string(),
            ticket.set.len().to_string(),
            ticket.remove.len().to_string(),
            ticket.comment.clone(),
        ]);
    }
    table.render()
}

/// Describes the fleet.
pub fn fleet(status: &FleetStatus) -> String {
    let config = &status.config;
    let mut text = format!(
        "revision {} (in force: {}), object API {}\n",
        config.revision,
        config.in_force_revision,
        if config.is_platform_reachable {
            "reachable"
        } else {
            "not reachable"
        },
    );
    if !config.waiting_for.is_empty() {
        let _ = writeln!(text, "waiting for: {}", join(&config.waiting_for));
    }
    for part in [entries(status), targets(status), moves(status)] {
        text.push('\n');
        text.push_str(&part);
    }
    text
}

fn entries(status: &FleetStatus) -> String {
    let mut table = Table::new(&["ENTRY", "DATA CENTRE", "INCARNATION", "REVISION", "STATE"]);
    for entry in &status.entries {
        table.row([
            entry.name.to_string(),
            entry.data_centre.to_string(),
            entry.incarnation.to_string(),
            entry.revision.to_string(),
            state(entry.leaving),
        ]);
    }
    table.render()
}

fn targets(status: &FleetStatus) -> String {
    let mut table = Table::new(&[
        "TARGET",
        "SERVICE",
        "DATA CENTRE",
        "VERSIONS",
        "RUNNING",
        "QUEUED",
        "QUEUE WAIT MS",
        "REPORT AGE MS",
        "STATE",
    ]);
    for target in &status.targets {
        table.row([
            target.name.to_string(),
            target.service.to_string(),
            target.data_centre.to_string(),
            join(&target.versions),
            target.running_requests.to_string(),
            target.queued_requests.to_string(),
            target.queue_wait_ms.to_string(),
            target.report_age_ms.to_string(),
            state(target.leaving),
        ]);
    }
    table.render()
}

fn moves(status: &FleetStatus) -> String {
    let mut table = Table::new(&[
        "MOVE",
        "SERVICE",
        "FROM",
        "TO",
        "STATE",
        "SHARE PERMILLE",
        "REASON",
    ]);
    for rollout in &status.moves {
        table.row([
            rollout.name.to_string(),
            rollout.service.to_string(),
            rollout.from.to_string(),
            rollout.to.to_string(),
            rollout.state.clone(),
            rollout.share_permille.to_string(),
            rollout.reason.clone(),
        ]);
    }
    table.render()
}

/// Describes how a request would be treated.
pub fn explanation(explanation: &Explanation) -> String {
    let name = |name: &Option<Name>| printable(name.as_deref().unwrap_or("none"));
    let mut text = format!(
        "revision {}, route {}, service {}, version {}, {} blocks\n",
        explanation.revision,
        name(&explanation.route),
        name(&explanation.service),
        name(&explanation.version),
        explanation.prompt_blocks,
    );
    if let Some(reason) = &explanation.refused {
        let _ = writeln!(text, "refused: {}", printable(reason));
    }
    let mut table = Table::new(&[
        "TARGET",
        "MATCHED",
        "QUEUE US",
        "COMPUTE US",
        "TRANSFER US",
        "DECISION",
    ]);
    for candidate in &explanation.candidates {
        let decision = match &candidate.skipped {
            Some(reason) => reason.clone(),
            None if candidate.is_chosen => "chosen".to_owned(),
            None => String::new(),
        };
        table.row([
            candidate.target.to_string(),
            candidate.matched_blocks.to_string(),
            candidate.queue_us.to_string(),
            candidate.compute_us.to_string(),
            candidate.transfer_us.to_string(),
            decision,
        ]);
    }
    text.push('\n');
    text.push_str(&table.render());
    text
}

fn state(leaving: bool) -> String {
    if leaving { "leaving" } else { "live" }.to_owned()
}

fn join(names: &[Name]) -> String {
    names.join(", ")
}
