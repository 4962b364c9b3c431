//! Tests of the catalogue file parser: the shipped examples, values, and error messages.

use std::path::Path;

use yucca_io::catalogue_file::{open, parse};
use yuccacove::catalogue::{Catalogue, Class, Object, Role};
use yuccacove::rules::check;

/// Guards against a shipped example that `yuccactl apply` would reject.
#[test]
fn examples_are_valid() {
    for (example, engines, servers) in [("hallgren", 12, 4), ("calhas", 18, 3)] {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let objects = open(&root.join(example).join("catalogue.ini")).expect("a valid catalogue");
        let count = |prefix: &str| {
            objects
                .iter()
                .filter(|(key, _)| key.starts_with(prefix))
                .count()
        };
        assert_eq!(
            (count("engine/"), count("server/")),
            (engines, servers),
            "{example}"
        );
        assert_eq!(check(&objects, &Catalogue::default()), vec![], "{example}");
    }
}

/// Guards against values that are parsed into the wrong field.
#[test]
fn parse_values() {
    let text = "
[entry stock]
owner = office
service = desk
class = read
rank = standard
first_token_ms = 1
between_tokens_ms = 2
deadline_ms = 3
requests_per_s = 4
concurrent = 5
tokens_per_s = 0
path_prefix = /stock
methods = GET, HEAD
[service advisor]
kind = model
model = m
version = v1
floor_percent_urgent = 40
floor_percent_background = 10
[engine advisor-1]
service = advisor
address = 127.0.0.1:9001
zone = a
role = decode
checks_fence = no
";
    let objects = parse("c.ini", text).expect("a valid catalogue");
    let keys: Vec<&str> = objects.iter().map(|(key, _)| key.as_str()).collect();
    assert_eq!(keys, ["entry/stock", "service/advisor", "engine/advisor-1"]);
    let Object::Entry(entry) = &objects[0].1 else {
        panic!("an entry")
    };
    assert_eq!((entry.class, entry.methods.len()), (Class::Read, 2));
    assert_eq!(
        (
            entry.first_token_ms,
            entry.between_tokens_ms,
            entry.deadline_ms
        ),
        (1, 2, 3)
    );
    assert_eq!((entry.requests_per_s, entry.concurrent), (4, 5));
    let Object::Service(service) = &objects[1].1 else {
        panic!("a service")
    };
    assert_eq!(service.floors_percent, [40, 0, 10]);
    let Object::Engine(engine) = &objects[2].1 else {
        panic!("an engine")
    };
    assert_eq!((engine.role, engine.checks_fence), (Role::Decode, false));
}

/// Guards against a typo that is silently accepted, or reported without its location.
#[test]
fn parse_errors_name_file_section_and_key() {
    let owner = "[owner x]\norganisation = h\n";
    let engine = "[engine x]\nservice = s\naddress = 127.0.0.1:1\nzone = a\nchecks_fence = yes\n";
    let chat = "[entry x]\nowner = o\nservice = s\nclass = chat\nrank = urgent\n\
                first_token_ms = 1\nbetween_tokens_ms = 1\ndeadline_ms = 1\n\
                requests_per_s = 1\nconcurrent = 1\ntokens_per_s = 1\n";
    let read = chat.replace("chat", "read");
    let cases = [
        (owner.replace("[owner x]\n", ""), 4002, "organisation: "),
        (
            owner.replace("owner", "oner"),
            4002,
            "[oner x] : expected [owner NAME]",
        ),
        (owner.replace(" x", ""), 4003, "[owner] : expected a name"),
        (
            owner.replace('x', "a/b"),
            4003,
            "[owner a/b] : expected a name",
        ),
        ("[owner x]\n".to_owned(), 4004, "[owner x] organisation: "),
        (engine.replace("zone", "zones"), 4002, "[engine x] zones: "),
        (engine.replace("zone = a", ""), 4004, "[engine x] zone: "),
        (engine.replace(":1\n", "\n"), 4003, "[engine x] address: "),
        (
            engine.replace("yes", "true"),
            4003,
            "[engine x] checks_fence: expected yes or no",
        ),
        (
            engine.replace("yes", "yes\nrole = both"),
            4003,
            "[engine x] role: expected mixed, ",
        ),
        (
            engine.replace("zone", "zone = b\nzone"),
            4003,
            "[engine x] zone: expected one value",
        ),
        (chat.replace("chat", "talk"), 4003, "[entry x] class: "),
        (
            chat.replace("rank = urgent\n", ""),
            4004,
            "[entry x] rank: expected urgent, ",
        ),
        (
            chat.replace("deadline_ms = 1", "deadline_ms = 1s"),
            4003,
            "[entry x] deadline_ms: ",
        ),
        (
            chat.replace("rank", "path_prefix = /x\nrank"),
            4002,
            "[entry x] path_prefix: ",
        ),
        (read.clone(), 4004, "[entry x] path_prefix: "),
        (
            read.replace("rank", "path_prefix = x\nrank"),
            4003,
            "[entry x] path_prefix: ",
        ),
        (
            read + "path_prefix = /x\nmethods = get\n",
            4003,
            "[entry x] methods: ",
        ),
        (
            "[service s]\nkind = model\nmodel = m\n".to_owned(),
            4004,
            "[service s] version: ",
        ),
        (
            "[service s]\nkind = plain\nfloor_percent_urgent = -1\n".to_owned(),
            4003,
            "[service s] floor_percent_urgent: ",
        ),
        (
            "[service s]\nkind = both\n".to_owned(),
            4003,
            "[service s] kind: expected model or plain",
        ),
    ];
    for (text, code, location) in cases {
        let error = parse("c.ini", &text).expect_err(&text);
        assert_eq!(error.code().number(), code, "{text}");
        let start = format!("c.ini: {location}");
        assert!(error.detail().starts_with(&start), "{error} for {text}");
    }
}
