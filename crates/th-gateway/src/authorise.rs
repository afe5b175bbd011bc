//! Checks whether a caller's organisation may make a request.

use std::sync::Arc;

use http::StatusCode;
use th_protocol::Millis;
use th_steer::{
    dispatch::{Job, Route},
    organisation::{Denial, KeyDigest, Organisation},
};

use crate::{
    answer::{Answer, reject, reject_with, reply},
    core::Core,
    forward::decline,
    outgoing::Outgoing,
};

/// Retry delay suggested to callers whose keys cannot be checked: long enough for a VM to be heard or look-ups to leave
/// it out, short enough for another attempt.
const STALE_RETRY_AFTER: Millis = Millis(1_000);

/// Who makes a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Caller {
    pub(crate) key: Option<KeyDigest>,
    pub(crate) organisation: Option<Arc<Organisation>>,
}

impl Caller {
    /// Who makes a request whose key this VM cannot check now; as far as it knew.
    pub(crate) fn stale(key: Option<KeyDigest>, denial: &Denial) -> Caller {
        let known = match denial {
            Denial::StaleKeys { organisation, .. } => organisation.clone(),
            Denial::MissingKey | Denial::UnknownKey | Denial::QuotaUsed(_) => None,
        };
        Caller { key, organisation: known }
    }
}

/// Returns the organisation that makes a request to a route; `None` if the request needs no key.
fn admit(
    core: &Core,
    route: &Route,
    key: Option<&KeyDigest>,
) -> Result<Option<Arc<Organisation>>, Denial> {
    let age = core.relay.age(core.now());
    core.dispatcher.borrow().admit(route, key, age)
}

/// Returns who makes a request to a route.
pub(crate) fn authorise(
    core: &Core,
    route: &Route,
    key: Option<KeyDigest>,
) -> Result<Caller, Denial> {
    let admitted = admit(core, route, key.as_ref());
    let admitted = admitted.inspect_err(|it| core.metrics.count_denial(it));
    Ok(Caller { key, organisation: admitted? })
}

/// Checks a request again before it is sent, since keys may have been withdrawn while it waited.
pub(crate) fn check_again(
    core: &Core,
    job: &mut Job,
    outgoing: &mut Outgoing,
) -> Result<(), Denial> {
    let caller = authorise(core, &job.route, outgoing.caller.key)?;
    if has_organisations(core) {
        core.dialect.strip_identity(&mut outgoing.headers);
    }
    job.organisation = caller.organisation.clone();
    outgoing.caller = caller;
    Ok(())
}

/// Whether a request may be sent once more on behalf of the organisation for which it was sent first; its home regions may
/// have changed meanwhile.
pub(crate) fn check_hedge(core: &Core, job: &mut Job, outgoing: &Outgoing) -> bool {
    let id = |it: &Option<Arc<Organisation>>| it.as_ref().map(|it| it.id.clone());
    match admit(core, &job.route, outgoing.caller.key.as_ref()) {
        Ok(admitted) if id(&admitted) == id(&job.organisation) => {
            job.organisation = admitted;
            true
        }
        _ => false,
    }
}

/// Whether callers identify their organisations by keys, which backend servers must not see.
pub(crate) fn has_organisations(core: &Core) -> bool {
    core.dispatcher.borrow().routes().is_some_and(|it| it.organisations().is_some())
}

/// The answer to a request that is not allowed and has not run. One that another VM passed on goes back to it if a third one
/// may know better.
pub(crate) fn deny(denial: &Denial, is_forwarded: bool) -> Answer {
    match denial {
        Denial::MissingKey => reply(StatusCode::UNAUTHORIZED, "The request carries no key."),
        Denial::UnknownKey => {
            reply(StatusCode::UNAUTHORIZED, "The key belongs to no organisation.")
        }
        Denial::QuotaUsed(wait) => {
            let text = "The organisation has used its quota; the request was not run.";
            reject_with(StatusCode::TOO_MANY_REQUESTS, text, *wait)
        }
        Denial::StaleKeys { .. } if is_forwarded => decline(),
        Denial::StaleKeys { .. } => {
            reject("This VM cannot check keys now; the request was not run.", STALE_RETRY_AFTER)
        }
    }
}
