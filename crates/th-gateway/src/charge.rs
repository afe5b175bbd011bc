//! The charge of a request against the quota of its organisation.

use std::{cell::Cell, rc::Rc};

use th_protocol::OrganisationId;
use th_steer::organisation::Denial;

use crate::{authorise::Caller, core::Core, usage::admit};

/// A token of an organisation's quota. On drop it is given back, unless a backend server may have run the request.
pub(crate) struct Charge {
    core: Rc<Core>,
    organisation: Option<OrganisationId>,
    kept: Cell<bool>,
}

impl Charge {
    /// Charges a request; waits a little for a token where one is likely to come.
    pub(crate) async fn take(core: &Rc<Core>, caller: &Caller) -> Result<Charge, Denial> {
        let organisation = caller.organisation.as_ref().filter(|it| it.quota.is_some());
        let organisation = organisation.map(|it| it.id.clone());
        if let Some(id) = &organisation
            && let Err(wait) = admit(core, id).await
        {
            let denial = Denial::QuotaUsed(wait);
            core.metrics.count_denial(&denial);
            return Err(denial);
        }
        Ok(Charge { core: Rc::clone(core), organisation, kept: Cell::new(false) })
    }

    /// No charge, for a request that another VM has charged.
    pub(crate) fn none(core: &Rc<Core>) -> Charge {
        Charge { core: Rc::clone(core), organisation: None, kept: Cell::new(false) }
    }

    /// Sets whether a backend server may have run the request.
    pub(crate) fn keep(&self, kept: bool) {
        self.kept.set(kept);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if let Some(id) = self.organisation.as_ref().filter(|_| !self.kept.get()) {
            self.core.quotas.borrow_mut().give_back(id);
        }
    }
}
