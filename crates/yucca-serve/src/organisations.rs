//! Organisations that may send requests, and the API keys that identify them.

use std::fmt;
use std::rc::Rc;

use indexmap::IndexMap;
use indexmap::map::Entry;

/// API key of an organisation. Its text is a secret: it is neither logged nor sent to anyone.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(String);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// An organisation that may send requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name, which back ends receive.
    pub name: Rc<str>,
    /// Rank of its requests, which replaces that of the route; `None` for the rank of the route.
    pub urgency: Option<u8>,
}

/// An API key that the configuration assigns to two organisations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedKey {
    /// Names of the two organisations.
    pub organisations: [Rc<str>; 2],
}

impl fmt::Display for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second] = &self.organisations;
        write!(f, "organisations {first} and {second} share an API key")
    }
}

impl std::error::Error for SharedKey {}

/// Index of an organisation in [`Organisations`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct OrganisationKey(usize);

/// All organisations of a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Organisations {
    all: Vec<Organisation>,
    by_api_key: IndexMap<ApiKey, OrganisationKey>,
}

impl Organisations {
    /// Adds an organisation with its API keys.
    ///
    /// # Errors
    ///
    /// If another organisation has one of the keys.
    pub fn add(
        &mut self,
        organisation: Organisation,
        api_keys: impl IntoIterator<Item = ApiKey>,
    ) -> Result<(), SharedKey> {
        let own = OrganisationKey(self.all.len());
        let name = Rc::clone(&organisation.name);
        self.all.push(organisation);
        for api_key in api_keys {
            match self.by_api_key.entry(api_key) {
                Entry::Vacant(entry) => {
                    entry.insert(own);
                }
                Entry::Occupied(entry) if *entry.get() == own => {}
                Entry::Occupied(entry) => {
                    let other = Rc::clone(&self.all[entry.get().0].name);
                    return Err(SharedKey {
                        organisations: [other, name],
                    });
                }
            }
        }
        Ok(())
    }

    /// Whether there are no organisations, so that requests need no API key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns the organisation with an API key.
    pub fn find(&self, api_key: &ApiKey) -> Option<&Organisation> {
        let key = self.by_api_key.get(api_key)?;
        Some(&self.all[key.0])
    }

    /// Iterates over all organisations, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.all.iter()
    }
}
