//! Checks that settings with any invalid part are rejected as a whole, with an error code and one
//! line that says what was expected.

use yucca_io::settings::Settings;

const VALID: &str = "\
[fleet]
customer = hallgren
region = nordvik

[store]
address = 127.0.0.1:20900

[host entry-1]
zone = nordvik-a
callers = 127.0.0.1:20001
operators = 127.0.0.1:20101
peers = 127.0.0.1:20201
control = 127.0.0.1:20301

[limits]
max_connections = 4096
memory_mb = 700
header_timeout_ms = 10000

[policy]
routing = scored
balancer_lag_ms = 5000
";

/// Guards against invalid settings that are accepted, and against errors that do not name the file,
/// section, key and expected value.
#[test]
fn parse_invalid_settings() {
    // Text in the valid settings, its replacement, the error code, and parts of the error line.
    let cases: &[(&str, &str, u16, &[&str])] = &[
        ("[fleet]", "[fleet", 4001, &["fleet.ini"]),
        (
            "region =",
            "regoin =",
            4002,
            &["[fleet] regoin", "customer, region"],
        ),
        ("[limits]", "[limit]", 4002, &["[limit]", "[limits]"]),
        ("[host entry-1]", "[host]", 4002, &["[host]", "[host NAME]"]),
        (
            "= 10000",
            "= 10s",
            4003,
            &["[limits] header_timeout_ms", "milliseconds", "10s"],
        ),
        (
            "= 4096",
            "= many",
            4003,
            &["[limits] max_connections", "whole number", "many"],
        ),
        (
            "= 700",
            "= 700 MB",
            4003,
            &["[limits] memory_mb", "megabytes", "700 MB"],
        ),
        (
            "= 700",
            "= 50",
            4003,
            &["[limits] memory_mb", "at least 51", "4194304 bytes"],
        ),
        (
            "= scored",
            "= best",
            4003,
            &["[policy] routing", "round_robin", "best"],
        ),
        (
            "127.0.0.1:20001",
            "localhost",
            4003,
            &["[host entry-1] callers", "address", "localhost"],
        ),
        (
            "callers = 127.0.0.1:20001\n",
            "",
            4004,
            &["[host entry-1] callers", "address"],
        ),
        ("zone = nordvik-a\n", "", 4004, &["[host entry-1] zone"]),
        (
            "[store]\naddress = 127.0.0.1:20900\n",
            "",
            4004,
            &["[store] address"],
        ),
        (
            "127.0.0.1:20301",
            "127.0.0.1:20001",
            4005,
            &["[host entry-1]", "20001", "also used"],
        ),
        (
            "127.0.0.1:20101",
            "127.0.0.1:20900",
            4005,
            &["[host entry-1] operators", "[store]"],
        ),
    ];
    Settings::parse("fleet.ini", VALID).expect("valid settings");
    for (from, to, code, parts) in cases {
        assert!(VALID.contains(from), "{from}");
        let Err(error) = Settings::parse("fleet.ini", &VALID.replace(from, to)) else {
            panic!("{to:?} for {from:?} is accepted");
        };
        let line = error.to_string();
        assert_eq!(error.code().number(), *code, "{line}");
        assert!(!line.contains('\n') && line.contains("fleet.ini"), "{line}");
        for part in *parts {
            assert!(line.contains(part), "{line} lacks {part:?}");
        }
    }
}

/// Guards against a default that is too small for the connections and bodies that the other limits allow.
#[test]
fn parse_memory_default() {
    // Maximum number of connections, largest body, and the least memory.
    let cases = [
        (256, 4_194_304, 85),
        (4_096, 4_194_304, 670),
        (4_096, 41_943_040, 1_100),
    ];
    for (max_connections, max_body_bytes, least_mb) in cases {
        let limits =
            format!("max_connections = {max_connections}\nmax_body_bytes = {max_body_bytes}\n");
        let text = VALID.replace("max_connections = 4096\nmemory_mb = 700\n", &limits);
        let settings = Settings::parse("fleet.ini", &text).expect("valid settings");
        let memory_mb = settings.limits.memory_bytes / 1_000_000;
        assert!(
            memory_mb >= least_mb && memory_mb < least_mb + 40,
            "{memory_mb} MB"
        );
    }
}
