//! Percent-encoding of names in request targets.
//!
//! Names of objects, ids and handles may contain any character. Unencoded, `&`, `#`, `?`, `/` or `%`
//! would change which object a request names, and a space or a control character would make the
//! request invalid. Source: RFC 3986, sections 2.1 to 2.4.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_encode};

/// All bytes except the unreserved characters of RFC 3986.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// The same, except the separator of a path's segments.
const RESERVED_IN_PATH: &AsciiSet = &RESERVED.remove(b'/');

/// Encodes a name as one segment of a path, or as the value of a query parameter. A name that is not
/// text is given as the bytes that it consists of.
///
/// ```
/// use yucca_io::uri::encode_component;
///
/// assert_eq!(encode_component("R&D-1/ä"), "R%26D-1%2F%C3%A4");
/// ```
pub fn encode_component(name: impl AsRef<[u8]>) -> String {
    percent_encode(name.as_ref(), RESERVED).to_string()
}

/// Encodes a key whose parts are separated by `/` as segments of a path.
///
/// ```
/// use yucca_io::uri::encode_key;
///
/// assert_eq!(encode_key("engine/R&D 1"), "engine/R%26D%201");
/// ```
pub fn encode_key(key: &str) -> String {
    percent_encode(key.as_bytes(), RESERVED_IN_PATH).to_string()
}
