//! Tokens that a request may use and has used.

use super::Call;
use crate::request::admission::Cost;

/// Bytes in an assumed token of a plain request.
const BYTES_PER_TOKEN: u64 = 4;

/// Output bound of a completion that states none.
const DEFAULT_OUTPUT_TOKENS: u32 = 1_024;

impl Call {
    /// Returns the tokens that the request may use.
    pub(in crate::process::entry) fn cost(&self) -> Cost {
        match &self.request.completion {
            Some(completion) => Cost {
                prompt_tokens: completion.prompt_tokens(),
                max_output_tokens: completion.max_total_output_tokens(DEFAULT_OUTPUT_TOKENS),
            },
            None => {
                let upload = self.request.upload.as_ref();
                let upload_bytes = upload.and_then(|upload| upload.length_bytes());
                let body_bytes = self.request.body.len() as u64 + upload_bytes.unwrap_or(0);
                Cost {
                    prompt_tokens: 1 + body_bytes / BYTES_PER_TOKEN,
                    max_output_tokens: 0,
                }
            }
        }
    }

    pub(super) fn cost_tokens(&self) -> u64 {
        self.cost().total_tokens().get()
    }

    /// Returns the tokens that a request has used whose answer is complete.
    ///
    /// An answer that does not state them counts with its bound.
    pub(in crate::process::entry) fn used_tokens(&self, whole_answer: &[u8]) -> u64 {
        let cost = self.cost();
        let emitted_tokens = match &self.stream {
            Some(stream) => Some(u64::from(stream.emitted_tokens())),
            None => completion_tokens(whole_answer),
        };
        cost.prompt_tokens + emitted_tokens.unwrap_or(cost.max_output_tokens)
    }
}

/// Output tokens that a whole completion reports.
fn completion_tokens(answer: &[u8]) -> Option<u64> {
    #[derive(serde::Deserialize)]
    struct Answer {
        usage: Usage,
    }
    #[derive(serde::Deserialize)]
    struct Usage {
        completion_tokens: u64,
    }
    let answer: Answer = serde_json::from_slice(answer).ok()?;
    Some(answer.usage.completion_tokens)
}
