//! Tests of the client of the object API against its stand-in.

use std::net::Ipv4Addr;

use serde_json::json;
use yucca_io::operators::OperatorsRequest;
use yucca_io::store::{Changes, Store};
use yucca_standins::standin::spawn_standin;
use yucca_standins::store::{Config, Store as StandinStore};

/// Names that an object API must be able to tell apart in a path and in a query.
const ODD_NAMES: [&str; 14] = [
    "R&D-1",
    "a#b",
    "a?b=c",
    "a b",
    "100%",
    "%41",
    "A%2541",
    "a+b",
    "a/b",
    "a=b;c",
    "\u{e9}\u{65e5}\u{1f980}",
    "line\nbreak\r\n",
    "\"quoted\\\"",
    "prefix=engine/&after=0",
];

fn keys(changes: &Changes) -> Vec<&str> {
    changes.objects.iter().map(|o| o.key.as_str()).collect()
}

/// Guards against calls that reach another object, or none, because of characters in a key that another
/// writer or an operator chose.
#[test]
fn store_odd_keys() {
    for name in ODD_NAMES {
        let standin = StandinStore::new(Config::default());
        let address = spawn_standin((Ipv4Addr::LOCALHOST, 0).into(), standin);
        let store = Store::new(address.expect("a free port"));
        store.put("engine/R", 0, &json!(0)).expect("written");
        let key = format!("server/{name}");
        let version = store.put(&key, 0, &json!(1)).expect("written");
        let read = store.get(&key).expect("a response").expect("an object");
        assert_eq!((read.key.as_str(), read.value), (key.as_str(), json!(1)));
        let listed = store.list(&key).expect("a listing");
        assert_eq!(keys(&listed), [key.as_str()], "{name:?}");
        let changes = store.watch(&key, 0, 0).expect("changes");
        assert_eq!(keys(&changes), [key.as_str()], "{name:?}");
        store.delete(&key, version).expect("deleted");
        assert_eq!(store.get(&key).expect("a response"), None, "{name:?}");
        assert_eq!(keys(&store.list("").expect("a listing")), ["engine/R"]);
    }
}

/// Guards against a question about another request than the one whose id an operator gave.
#[test]
fn operators_parameter_decoded() {
    let request = OperatorsRequest {
        is_post: false,
        path: "/v1/explain".to_owned(),
        query: "other=1&request=R%26D%2F%C3%A9%20%2541".to_owned(),
        body: String::new(),
    };
    let parameter = request.parameter("request").expect("a parameter");
    assert_eq!(parameter, "R&D/\u{e9} %41");
    assert_eq!(request.parameter("absent"), None);
}
