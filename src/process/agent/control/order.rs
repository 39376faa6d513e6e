//! Orders of the holder of a move, fenced on behalf of the target.

use std::rc::Rc;

use error_stack::Report;
use serde::{
    Deserialize,
    Serialize, //
};
use slog::{
    info,
    warn, //
};

use super::Control;
use crate::{
    clock::US_PER_MS,
    error::{
        ErrorKind,
        Result, //
    },
    event::Event,
    names::Name,
    process::{
        client,
        platform::Platform,
        rpc::{
            OrderAction,
            OrderAnswer,
            OrderRequest, //
        },
    },
    version::{
        config::ServiceKind,
        fence::Admission,
        lease::LeaseRecord,
        rollout::object_key, //
    },
};

/// Bound for reading the move object, shorter than that of the order's call.
const READ_WITHIN_US: u64 = 800 * US_PER_MS;

/// The part of a move object that fences orders.
#[derive(Deserialize)]
struct StoredMove {
    lease: LeaseRecord,
}

/// Order as the target takes it.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum TargetOrder {
    Load { version: Name, fence: u64 },
    Unload { version: Name, fence: u64 },
}

/// How an order to the target ended.
enum Ending {
    Executed,
    Refused(u16),
    /// The order never left the agent.
    Unsent,
    /// The target may still execute the order.
    Unknown,
}

impl Control {
    /// Takes an order. It is executed in the background, because loading takes
    /// longer than a control call may.
    pub(super) async fn order(self: Rc<Self>, request: OrderRequest) -> Result<OrderAnswer> {
        let order = self.target_order(&request)?;
        let mut admission = self.admit(&request);
        if admission == Admission::ReadFirst {
            self.read_fencing(&request).await?;
            admission = self.admit(&request);
        }
        match admission {
            Admission::Execute => {}
            Admission::Wait => return Ok(self.order_answer()),
            Admission::ReadFirst => return Err(Report::new(ErrorKind::Internal)),
            Admission::Refuse { highest } => {
                warn!(self.context.log, "order with an old fencing number refused";
                    "event" => Event::OrderFenced, "service" => %request.service,
                    "fencing" => request.fencing, "highest" => highest);
                return Err(Report::new(ErrorKind::OrderFenced));
            }
        }
        match order {
            Some(order) => drop(ntex::rt::spawn(Rc::clone(&self).execute_order(order))),
            None => self.finish_order(),
        }
        Ok(self.order_answer())
    }

    /// Returns the order for the target; `None` when the order is only for
    /// the agent.
    fn target_order(&self, request: &OrderRequest) -> Result<Option<TargetOrder>> {
        let fence = request.fencing;
        let order = match &request.action {
            OrderAction::Fence => return Ok(None),
            OrderAction::Load { version } => TargetOrder::Load {
                version: version.clone(),
                fence,
            },
            OrderAction::Unload { version } => TargetOrder::Unload {
                version: version.clone(),
                fence,
            },
        };
        // On a plain service the path of orders may belong to its callers.
        if self.context.settings.target_kind != ServiceKind::Model {
            let report = Report::new(ErrorKind::BadRequest);
            return Err(report.attach("a plain service takes no orders"));
        }
        Ok(Some(order))
    }

    fn admit(&self, request: &OrderRequest) -> Admission {
        let name = &self.context.settings.name;
        self.fences.borrow_mut().admit(name, request.fencing)
    }

    /// Ends the order that runs on the target.
    pub(super) fn finish_order(&self) {
        let name = &self.context.settings.name;
        self.fences.borrow_mut().finish(name);
        self.ordered.take();
    }

    async fn read_fencing(&self, request: &OrderRequest) -> Result<()> {
        let unavailable =
            |reason: String| Report::new(ErrorKind::PlatformUnavailable).attach(reason);
        let context = &self.context;
        let platform = Platform::new(context.settings.platform_address, context.clock);
        let platform = platform.await;
        let platform = platform.map_err(|error| unavailable(error.to_string()))?;
        let deadline_us = context.clock.now_us() + READ_WITHIN_US;
        let key = object_key(&request.service);
        let stored = platform.get(&key, deadline_us).await;
        let stored = stored.map_err(|error| unavailable(error.to_string()))?;
        // A holder stores its number before it sends an order.
        let stored = stored.ok_or_else(|| {
            Report::new(ErrorKind::OrderFenced).attach("the service has no move object")
        })?;
        let stored: StoredMove = serde_json::from_slice(&stored.value)
            .map_err(|error| unavailable(error.to_string()))?;
        let name = &context.settings.name;
        self.fences.borrow_mut().learn(name, stored.lease.fencing);
        Ok(())
    }

    async fn execute_order(self: Rc<Self>, order: TargetOrder) {
        let (version, fencing) = match &order {
            TargetOrder::Load { version, fence } | TargetOrder::Unload { version, fence } => {
                (version.clone(), *fence)
            }
        };
        let is_load = matches!(order, TargetOrder::Load { .. });
        self.ordered.replace(is_load.then(|| version.clone()));
        let ending = self.send_order(&order).await;
        let failed = match ending {
            Ending::Executed => None,
            Ending::Refused(_) | Ending::Unsent => is_load.then(|| version.clone()),
            Ending::Unknown if self.context.settings.checks_fencing => None,
            // Only an answer or a restart of the target proves that the order
            // cannot take effect after a newer one.
            Ending::Unknown => return,
        };
        let status = match ending {
            Ending::Executed => 200,
            Ending::Refused(status) => status,
            Ending::Unsent | Ending::Unknown => 0,
        };
        info!(self.context.log, "order ended"; "version" => %version,
            "fencing" => fencing, "is_load" => is_load, "status" => status);
        self.failed.replace(failed);
        self.finish_order();
    }

    async fn send_order(&self, order: &TargetOrder) -> Ending {
        let Ok(client) = client::build("orders").await else {
            return Ending::Unsent;
        };
        let url = client::url(self.context.settings.target_address, "/orders");
        match client.post(url).send_json(order).await {
            Ok(response) if response.status().is_success() => Ending::Executed,
            Ok(response) => Ending::Refused(response.status().as_u16()),
            Err(error) if client::is_unsent(&error) => Ending::Unsent,
            Err(_) => Ending::Unknown,
        }
    }

    fn order_answer(&self) -> OrderAnswer {
        let versions = self.context.versions();
        let name = &self.context.settings.name;
        OrderAnswer {
            fencing: self.fences.borrow().highest(name),
            versions: versions.into_iter().map(Name::from).collect(),
            loading: self.ordered.borrow().clone(),
            failed: self.failed.borrow().clone(),
            running: self.context.running_versions(),
        }
    }
}
