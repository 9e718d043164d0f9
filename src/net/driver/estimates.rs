//! Cost estimates for operators: of a query of the status index, or of a planned run of messages.

use hyper::StatusCode;
use myrtleyard::coded_error;
use myrtleyard::estimate::estimator::{self, EstimateError};
use myrtleyard::estimate::sending::{self, Run, RunError};
use myrtleyard::interface::{DestinationId, DestinationSummary};
use myrtleyard::status::Query;
use serde::Deserialize;

use super::super::control::Reply;
use super::super::listing::Listing;
use super::super::parts::Part;
use super::Driver;

/// What is to be estimated.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum EstimateRequest {
    Query(Query),
    Run(Run),
}

/// Why there is no estimate.
#[derive(Debug, thiserror::Error)]
pub enum EstimateRequestError {
    #[error("estimates are not available: the configuration has no section \"status\"")]
    Off,
    #[error("the request body is not valid JSON of the expected form: {0}")]
    Body(#[from] serde_json::Error),
    #[error("the query can't be estimated: {0}")]
    Query(#[from] EstimateError),
    #[error("the run can't be estimated: {0}")]
    Run(#[from] RunError),
    #[error("there is no tenant {0}")]
    Tenant(String),
}

coded_error! { EstimateRequestError {
    Off => "estimate.off",
        "add the sections \"membership\" and \"status\" to the configuration, and start a new process";
    Body => "estimate.body",
        "send {\"query\": {...}} or {\"run\": {...}} with the fields of docs/estimate.md";
    Tenant => "estimate.tenant", "name one of settings.realms";
    ..Query;
    ..Run;
} }

impl EstimateRequestError {
    fn reply(&self) -> Reply {
        let status = match self {
            Self::Off | Self::Run(RunError::Nowhere(_)) => StatusCode::NOT_FOUND,
            _ => StatusCode::BAD_REQUEST,
        };
        Reply::error(status, self)
    }
}

impl Driver {
    /// Estimates a cost; nothing is run or charged.
    pub(super) fn estimate(&self, body: &[u8]) -> Reply {
        match self.try_estimate(body) {
            Ok(reply) => reply,
            Err(why) => why.reply(),
        }
    }

    /// The report on the data that estimates are based on.
    pub(super) fn estimate_report(&self) -> Reply {
        match &self.parts.estimate {
            Some(part) => Reply::ok(&part.report(self.clock.now())),
            None => EstimateRequestError::Off.reply(),
        }
    }

    fn try_estimate(&self, body: &[u8]) -> Result<Reply, EstimateRequestError> {
        let part = self.parts.estimate.as_ref().ok_or(EstimateRequestError::Off)?;
        let names = self.names.borrow();
        let now = self.clock.now();
        match serde_json::from_slice(body)? {
            EstimateRequest::Query(query) => {
                estimator::check(&query)?;
                if !names.tenants.is_empty() && !names.tenants.contains(&query.tenant) {
                    return Err(EstimateRequestError::Tenant(query.tenant));
                }
                Ok(Reply::ok(&part.estimate(now, &query)))
            }
            EstimateRequest::Run(run) => {
                let tenant = names.tenants.iter().position(|tenant| *tenant == run.tenant);
                let class = names.class(&run.class);
                let summary = |to| self.summary(to, tenant);
                let runs = &part.core.runs;
                let planned = sending::plan(&run, (class, tenant), &self.settings, runs, now, summary)?;
                Ok(Reply::ok(&planned.0))
            }
        }
    }

    /// The maximum number of messages in one call, for each active endpoint of a destination.
    fn active_bundles(&self, to: u32) -> Vec<usize> {
        if let Some(table) = &self.working_set.table {
            let active = table.of(to).into_iter().filter(|listing| listing.status == "active");
            let kind = |listing: Listing| self.names.borrow().kind(&listing.kind);
            let bundle = |kind: usize| self.settings.kinds.get(kind).map_or(1, |kind| kind.max_batch);
            return active.map(|listing| bundle(kind(listing))).collect();
        }
        let listed = self.endpoints.values().filter(|known| known.listed && known.group == to);
        listed.filter(|known| known.active()).map(|known| known.bundle).collect()
    }

    /// The module's route state of a destination, completed with the endpoints in the list.
    fn summary(&self, to: DestinationId, tenant: Option<usize>) -> DestinationSummary {
        let active = self.active_bundles(to.0);
        let bundle = active.iter().copied().max().unwrap_or(1);
        let summary = self.policy.destination_summary(to, tenant.unwrap_or(usize::MAX));
        DestinationSummary { endpoints: active.len(), max_batch: bundle, ..summary }
    }
}
