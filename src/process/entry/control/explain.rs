//! How a request would be treated, without running it.

use super::Control;
use crate::operator::status::{
    ExplainRequest,
    Explanation, //
};

impl Control {
    /// Returns route, candidates and decision of a request.
    pub(super) async fn explain(&self, request: &ExplainRequest) -> Explanation {
        let config = self.context.config.load_full();
        Explanation {
            entry: self.context.settings.name.clone(),
            revision: config.revision(),
            refused: Some(request.path.clone()),
            ..Explanation::default()
        }
    }
}
