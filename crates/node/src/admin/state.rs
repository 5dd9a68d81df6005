//! What all handlers of the administration API share: their state, their result, and the rights of a caller.

use std::sync::Arc;

use axum::http::StatusCode;
use axum::response::Response;

use super::auth::{Caller, Role, Tokens};
use super::problem::Problem;
use crate::control::Control;

/// State that all handlers share.
#[derive(Clone)]
pub(super) struct ApiState {
    pub(super) control: Arc<Control>,
    pub(super) tokens: Arc<Tokens>,
}

/// Result of a handler: a response, or a problem that becomes one.
pub(super) type ApiResult = Result<Response, Problem>;

impl Caller {
    /// Checks that the caller is an operator.
    pub(super) fn require_operator(&self) -> Result<(), Problem> {
        match self.role {
            Role::Operator => Ok(()),
            Role::Tenant(_) => {
                Err(Problem::new(StatusCode::FORBIDDEN, "this operation requires an operator's token"))
            }
        }
    }

    /// Checks that the caller may access `tenant`: operators may access every tenant, a tenant only itself.
    pub(super) fn require_tenant_access(&self, tenant: &str) -> Result<(), Problem> {
        match &self.role {
            Role::Tenant(own) if own != tenant => {
                Err(Problem::new(StatusCode::FORBIDDEN, "this token is for another tenant"))
            }
            _ => Ok(()),
        }
    }
}
