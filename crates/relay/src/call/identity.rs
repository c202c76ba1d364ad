//! Who sends a request: a caller with the key of a client account, or somebody without a key, who may use
//! public routes only. Backend servers have no key, so the routes that they call are public.

use super::RequestCall;
use crate::{
    credentials::{Credentials, credentials},
    error::RelayError,
};
use agatehill_decide::{
    call_parent::CallSender,
    gate_selection::RouteKey,
    service_config::{ClientAccount, KeyCheck, RouteRule, RouteTable},
};
use http::{HeaderValue, header::AUTHORIZATION};
use std::sync::Arc;

impl RequestCall<'_> {
    /// Finds the sender of the request, and the running request that it is a call of, if any. Removes the
    /// key from its head and sets the name of the account.
    ///
    /// # Errors
    ///
    /// The route needs a key, and the request has none that is in force.
    pub(super) fn identify(
        &mut self,
        table: &RouteTable,
        rule: &RouteRule,
        route: RouteKey,
    ) -> Result<(), RelayError> {
        self.head.headers.remove(&self.entry.options.names.account);
        if table.requires_keys() {
            self.account = self.check_key(table, rule)?;
            self.head.headers.remove(AUTHORIZATION);
            self.name_account();
        }
        let sender = match self.account {
            Some(_) => CallSender::Caller,
            None => CallSender::Unknown,
        };
        self.parent = self.find_parent(route, sender);
        Ok(())
    }

    /// Returns the account whose key the request carries; `None` if it carries none in force and its route
    /// is public.
    fn check_key(
        &self,
        table: &RouteTable,
        rule: &RouteRule,
    ) -> Result<Option<Arc<ClientAccount>>, RelayError> {
        let key = match credentials(&self.head.headers) {
            Credentials::Key(key) => table.check_key(key),
            Credentials::Absent | Credentials::Malformed => KeyCheck::Unknown,
        };
        match key {
            KeyCheck::Known(account) => Ok(Some(account)),
            KeyCheck::Unknown if rule.is_public => Ok(None),
            KeyCheck::Unknown => Err(RelayError::Unauthorized),
        }
    }

    /// Returns the label of the counters of the request's account.
    pub(super) fn account_label(&self) -> Option<&str> {
        let account = self.account.as_ref()?;
        let table = self.table.as_ref()?;
        Some(table.account_label(&account.name))
    }

    fn name_account(&mut self) {
        let Some(account) = &self.account else {
            return;
        };
        let name = HeaderValue::try_from(account.name.as_str())
            .expect("account names are valid header values");
        let header = self.entry.options.names.account.clone();
        self.head.headers.insert(header, name);
    }
}
