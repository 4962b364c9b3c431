//! Authentication of requests by API keys.

use http::header::AUTHORIZATION;
use yuccacove::code::Code;

use crate::config::{Route, ServingConfig};
use crate::host::Host;
use crate::organisations::Organisation;
use crate::request::Request;

/// Checks the API key of a request, sets its organisation, and returns the rank of its requests.
///
/// The caller must have received the complete request before: how recent the configuration is counts
/// from that time on.
///
/// # Errors
///
/// [`Code::UnknownKey`] if no organisation has the key, and [`Code::KeysUnproven`] if this host does not
/// know whether its configuration is recent enough.
pub(crate) fn authenticate<B>(
    host: &Host<B>,
    config: &ServingConfig,
    route: &Route,
    request: &mut Request,
) -> Result<u8, Code> {
    if config.organisations.is_empty() {
        return Ok(route.urgency);
    }
    // Back ends must not learn the key.
    request.headers.remove(AUTHORIZATION);
    let api_key = request.api_key.take();
    let find = || api_key.and_then(|api_key| config.organisations.find(&api_key));
    let organisation = admit(host, config, route, find)?;
    request.organisation = organisation.map(|o| o.name.clone());
    Ok(rank(route, organisation))
}

/// Returns the organisation of a request, which `find` looks up; `None` if it needs none.
///
/// # Errors
///
/// As [`authenticate`].
pub(crate) fn admit<'a, B>(
    host: &Host<B>,
    config: &ServingConfig,
    route: &Route,
    find: impl FnOnce() -> Option<&'a Organisation>,
) -> Result<Option<&'a Organisation>, Code> {
    if config.organisations.is_empty() || route.is_public {
        return Ok(None);
    }
    // An older configuration may also lack a key that was added since.
    if !host.may_accept_keys() {
        return Err(Code::KeysUnproven);
    }
    find().map(Some).ok_or(Code::UnknownKey)
}

/// Returns the rank of the requests of an organisation on a route.
pub(crate) fn rank(route: &Route, organisation: Option<&Organisation>) -> u8 {
    let own = organisation.and_then(|organisation| organisation.urgency);
    own.unwrap_or(route.urgency)
}
