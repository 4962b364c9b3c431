//! Authentication of requests by API keys.

use http::header::AUTHORIZATION;
use yuccacove::code::Code;

use crate::config::{Route, ServingConfig};
use crate::host::Host;
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
    if route.is_public {
        return Ok(route.urgency);
    }
    // An older configuration may also lack a key that was added since.
    if !host.may_accept_keys() {
        return Err(Code::KeysUnproven);
    }
    let organisation = api_key
        .and_then(|api_key| config.organisations.find(&api_key))
        .ok_or(Code::UnknownKey)?;
    request.organisation = Some(organisation.name.clone());
    Ok(organisation.urgency.unwrap_or(route.urgency))
}
