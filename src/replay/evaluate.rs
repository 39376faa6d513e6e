//! Runs traces against policies in virtual time.

pub mod fairness;
pub mod limits;
pub mod moves;
pub mod placement;
pub mod router;
pub mod simulation;
pub mod traffic;

/// How much work an evaluation does.
///
/// ```
/// use yuccalatch::replay::evaluate::Size;
///
/// assert!(Size::Small.requests(1_000) < Size::Full.requests(1_000));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Size {
    /// A fifth of the full size, for continuous integration.
    #[default]
    Small,
    /// The size whose figures stand in the documentation.
    Full,
}

impl Size {
    /// Returns the number of requests to generate, given the full number.
    pub const fn requests(self, full: usize) -> usize {
        match self {
            Self::Small => full / 5,
            Self::Full => full,
        }
    }
}

/// Runs one job for each item on its own thread and returns the results in the
/// order of the items.
pub(crate) fn in_parallel<T: Sync, R: Send>(items: &[T], job: impl Fn(&T) -> R + Sync) -> Vec<R> {
    std::thread::scope(|scope| {
        let job = &job;
        let threads: Vec<_> = items
            .iter()
            .map(|item| scope.spawn(move || job(item)))
            .collect();
        let results = threads.into_iter().map(|thread| match thread.join() {
            Ok(result) => result,
            Err(panic) => std::panic::resume_unwind(panic),
        });
        results.collect()
    })
}
