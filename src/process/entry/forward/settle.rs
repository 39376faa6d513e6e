//! Settles attempts whose connection was lost.

use error_stack::Report;

use super::{
    Call,
    Step, //
};
use crate::{
    connection::reassembly::ResponsePart,
    error::{
        ErrorKind,
        Result, //
    },
    process::agent::BarAnswer,
    request::retry::AttemptPhase, //
};

impl Call {
    /// Finds out whether an attempt without an answer has started.
    pub(super) async fn settle(&mut self, kind: ErrorKind) -> Result<Step> {
        let Some(attempt) = &mut self.attempt else {
            return Err(Report::new(ErrorKind::Internal));
        };
        let answer = match attempt.bar().await {
            Ok(answer) => answer,
            Err(_) => {
                return Ok(Step::Failed(
                    ErrorKind::OutcomeUnknown,
                    AttemptPhase::CancelRequested,
                ));
            }
        };
        match answer {
            BarAnswer::Barred => Ok(Step::Failed(
                ErrorKind::Barred,
                AttemptPhase::CancelRequested,
            )),
            BarAnswer::Unknown => Ok(Step::Failed(
                ErrorKind::OutcomeUnknown,
                AttemptPhase::CancelRequested,
            )),
            BarAnswer::Running | BarAnswer::Done => {
                if attempt.resume().await.is_err() {
                    return Ok(Step::Failed(
                        ErrorKind::OutcomeUnknown,
                        AttemptPhase::CancelRequested,
                    ));
                }
                // From here on the stream is resumed like any other.
                match attempt.next().await {
                    Ok(ResponsePart::Head(head)) => {
                        self.note_head(&head);
                        Ok(Step::Headed(head))
                    }
                    Ok(ResponsePart::Failed(kind)) => {
                        Ok(Step::Failed(kind, AttemptPhase::CancelRequested))
                    }
                    _ => Ok(Step::Failed(kind, AttemptPhase::CancelRequested)),
                }
            }
        }
    }
}
