//! Settles attempts whose connection was lost.

use error_stack::Report;

use super::{
    Call,
    Step, //
};
use crate::{
    connection::reassembly::Accepted,
    error::{
        ErrorKind,
        Result, //
    },
    process::agent::BarAnswer,
    request::retry::Phase, //
};

impl Call {
    /// Finds out whether an attempt without an answer has started.
    pub(super) async fn settle(&mut self, kind: ErrorKind) -> Result<Step> {
        let Some(attempt) = &mut self.attempt else {
            return Err(Report::new(ErrorKind::Internal));
        };
        let answer = match attempt.bar().await {
            Ok(answer) => answer,
            Err(_) => return Ok(Step::Failed(ErrorKind::OutcomeUnknown, Phase::Settled)),
        };
        match answer {
            BarAnswer::Barred => Ok(Step::Failed(ErrorKind::Barred, Phase::Settled)),
            BarAnswer::Unknown => Ok(Step::Failed(ErrorKind::OutcomeUnknown, Phase::Settled)),
            BarAnswer::Running | BarAnswer::Done => {
                if attempt.resume().await.is_err() {
                    return Ok(Step::Failed(ErrorKind::OutcomeUnknown, Phase::Settled));
                }
                // From here on the stream is resumed like any other.
                match attempt.next().await {
                    Ok(Accepted::Head(head)) => {
                        self.note_head(&head);
                        Ok(Step::Headed(head))
                    }
                    Ok(Accepted::Failed(kind)) => Ok(Step::Failed(kind, Phase::Settled)),
                    _ => Ok(Step::Failed(kind, Phase::Settled)),
                }
            }
        }
    }
}
