//! Consistency rules between the objects of a catalogue, checked before any of them is written.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::catalogue::{Admin, Catalogue, Class, Entry, Object, Service, ServiceKind};

/// Minimum value of an entry's limits; 0 would silently refuse all of its requests.
const MIN_LIMIT: u32 = 1;
/// Maximum sum of the ranks' floors, as a percentage of a pool.
const MAX_FLOOR_SUM_PERCENT: u32 = 100;

/// Catalogue rule, identified by its number in the documentation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// R1: an entry's owner exists.
    KnownOwner = 1,
    /// R2: the service of an entry or backend exists.
    KnownService = 2,
    /// R3: the class of an entry and the kind of a backend match the kind of their service.
    MatchingKind = 3,
    /// R4: no limit is below 1.
    MinLimit = 4,
    /// R5: no two backends have the same address.
    UniqueAddress = 5,
    /// R6: no section occurs twice.
    UniqueSection = 6,
    /// R7: a service's floors add up to at most 100%.
    FloorSum = 7,
    /// R8: no two entries have the same path prefix and a common method.
    UniquePath = 8,
    /// R9: the name of a withdrawn backend is not reused.
    UnusedName = 9,
    /// R10: the first-token target is within the deadline.
    TargetWithinDeadline = 10,
}

impl Rule {
    /// Returns the number of the rule, 1 to 10.
    pub fn number(self) -> u8 {
        self as u8
    }
}

/// Violation of a rule by a proposed catalogue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Key of the invalid object, such as `engine/advisor-1`.
    pub key: String,
    /// Name of the invalid field; empty if the violation concerns the whole object.
    pub field: &'static str,
    /// Description of the problem.
    pub detail: String,
}

impl Display for Violation {
    /// Formats the violation as `R5: [engine advisor-1] address: ...`, with the section name of the
    /// object in the catalogue file.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let section = self.key.replacen('/', " ", 1);
        let separator = if self.field.is_empty() { "" } else { " " };
        write!(
            f,
            "R{}: [{section}]{separator}{}: {}",
            self.rule.number(),
            self.field,
            self.detail
        )
    }
}

/// Checks a complete proposed catalogue, given as keys and objects in file order, against rules R1
/// to R10. `current` is the active catalogue. Its objects that the proposal does not contain remain
/// active, so addresses and paths must not conflict with theirs either.
///
/// ```
/// use yuccacove::catalogue::{Catalogue, Object};
/// use yuccacove::rules::{check, Rule};
///
/// let engine = serde_json::json!({
///     "service": "advisor", "address": "127.0.0.1:9000", "zone": "a", "checks_fence": true
/// });
/// let engine = Object::parse("engine/advisor-1", &engine)?.expect("a catalogue key");
/// let violations = check(&[("engine/advisor-1".to_owned(), engine)], &Catalogue::default());
/// assert_eq!(violations[0].rule, Rule::KnownService);
/// # Ok::<(), yuccacove::error::Error>(())
/// ```
pub fn check(proposed: &[(String, Object)], current: &Catalogue) -> Vec<Violation> {
    let mut checker = Checker::new(proposed, current);
    for (key, object) in proposed {
        checker.check_object(key, object);
    }
    checker.violations
}

struct Checker<'a> {
    owners: IndexSet<&'a str>,
    services: IndexMap<&'a str, &'a Service>,
    current: &'a Catalogue,
    sections: IndexSet<&'a str>,
    addresses: IndexMap<SocketAddr, &'a str>,
    paths: IndexMap<(&'a str, &'a str), &'a str>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    fn new(proposed: &'a [(String, Object)], current: &'a Catalogue) -> Self {
        let mut checker = Self {
            owners: IndexSet::new(),
            services: IndexMap::new(),
            current,
            sections: IndexSet::new(),
            addresses: IndexMap::new(),
            paths: IndexMap::new(),
            violations: Vec::new(),
        };
        for (key, object) in proposed {
            match (key.split_once('/'), object) {
                (Some((_, name)), Object::Owner(_)) => {
                    checker.owners.insert(name);
                }
                (Some((_, name)), Object::Service(service)) => {
                    checker.services.insert(name, service);
                }
                _ => {}
            }
        }
        let proposed_keys: IndexSet<&str> = proposed.iter().map(|(key, _)| key.as_str()).collect();
        for (key, _, object) in current
            .iter()
            .filter(|(key, ..)| !proposed_keys.contains(key))
        {
            if let Some(object) = object {
                checker.add_current(key, object);
            }
        }
        checker
    }

    /// Records the address or paths of an active object that the proposal does not contain.
    fn add_current(&mut self, key: &'a str, object: &'a Object) {
        if let Object::Entry(entry) = object {
            for path in paths(entry) {
                self.paths.insert(path, key);
            }
        }
        if let Some((address, admin)) = address_and_admin(object)
            && admin != Admin::Withdrawn
        {
            self.addresses.insert(address, key);
        }
    }

    fn check_object(&mut self, key: &'a str, object: &'a Object) {
        if !self.sections.insert(key) {
            self.report(Rule::UniqueSection, key, "", "section occurs twice");
            return;
        }
        match object {
            Object::Owner(_) => {}
            Object::Entry(entry) => self.check_entry(key, entry),
            Object::Service(service) => self.check_floors(key, service),
            Object::Engine(engine) => {
                self.check_service(key, &engine.service, ServiceKind::Model, "an engine");
                self.check_backend(key, engine.address);
            }
            Object::Server(server) => {
                self.check_service(key, &server.service, ServiceKind::Plain, "a server");
                self.check_backend(key, server.address);
            }
        }
    }

    fn check_entry(&mut self, key: &'a str, entry: &'a Entry) {
        if !self.owners.contains(entry.owner.as_str()) {
            let detail = format!("no section [owner {}]", entry.owner);
            self.report(Rule::KnownOwner, key, "owner", detail);
        }
        let (kind, class) = match entry.class {
            Class::Chat => (ServiceKind::Model, "class chat"),
            Class::Read => (ServiceKind::Plain, "class read"),
            Class::Order => (ServiceKind::Plain, "class order"),
        };
        self.check_service(key, &entry.service, kind, class);
        self.check_limits(key, entry);
        for path in paths(entry) {
            if let Some(other) = self.paths.insert(path, key) {
                let (prefix, method) = path;
                let detail = format!("{method} {prefix} is also used by {other}");
                self.report(Rule::UniquePath, key, "path_prefix", detail);
            }
        }
        if entry.first_token_ms > entry.deadline_ms {
            let detail = format!(
                "{} is above deadline_ms {}",
                entry.first_token_ms, entry.deadline_ms
            );
            self.report(Rule::TargetWithinDeadline, key, "first_token_ms", detail);
        }
    }

    fn check_limits(&mut self, key: &str, entry: &Entry) {
        let tokens_per_s = match entry.class {
            Class::Chat => entry.tokens_per_s,
            // Requests to plain services have no tokens.
            Class::Read | Class::Order => MIN_LIMIT,
        };
        let limits = [
            ("requests_per_s", entry.requests_per_s),
            ("concurrent", entry.concurrent),
            ("tokens_per_s", tokens_per_s),
        ];
        for (field, limit) in limits {
            if limit < MIN_LIMIT {
                let detail = format!("{limit} is below {MIN_LIMIT}");
                self.report(Rule::MinLimit, key, field, detail);
            }
        }
    }

    fn check_service(&mut self, key: &str, service: &str, kind: ServiceKind, user: &str) {
        match self.services.get(service) {
            None => {
                let detail = format!("no section [service {service}]");
                self.report(Rule::KnownService, key, "service", detail);
            }
            Some(found) if found.kind != kind => {
                let expected = match kind {
                    ServiceKind::Model => "model",
                    ServiceKind::Plain => "plain",
                };
                let detail = format!("{user} needs a service of kind {expected}");
                self.report(Rule::MatchingKind, key, "service", detail);
            }
            Some(_) => {}
        }
    }

    fn check_floors(&mut self, key: &str, service: &Service) {
        let sum: u32 = service.floors_percent.iter().copied().map(u32::from).sum();
        if sum > MAX_FLOOR_SUM_PERCENT {
            let detail = format!("floors add up to {sum}%");
            self.report(Rule::FloorSum, key, "floor_percent", detail);
        }
    }

    fn check_backend(&mut self, key: &'a str, address: SocketAddr) {
        if let Some(other) = self.addresses.insert(address, key) {
            let detail = format!("{address} is also used by {other}");
            self.report(Rule::UniqueAddress, key, "address", detail);
        }
        let admin = self.current.get(key).and_then(address_and_admin);
        if admin.is_some_and(|(_, admin)| admin == Admin::Withdrawn) {
            let detail = "was withdrawn; use a new name";
            self.report(Rule::UnusedName, key, "", detail);
        }
    }

    fn report(&mut self, rule: Rule, key: &str, field: &'static str, detail: impl Into<String>) {
        self.violations.push(Violation {
            rule,
            key: key.to_owned(),
            field,
            detail: detail.into(),
        });
    }
}

/// Returns the entry's path prefix without trailing slash, paired with each of its methods.
fn paths(entry: &Entry) -> impl Iterator<Item = (&str, &str)> {
    let prefix = entry.path_prefix.trim_end_matches('/');
    entry.methods.iter().map(move |m| (prefix, m.as_str()))
}

fn address_and_admin(object: &Object) -> Option<(SocketAddr, Admin)> {
    match object {
        Object::Engine(engine) => Some((engine.address, engine.admin)),
        Object::Server(server) => Some((server.address, server.admin)),
        Object::Owner(_) | Object::Entry(_) | Object::Service(_) => None,
    }
}
