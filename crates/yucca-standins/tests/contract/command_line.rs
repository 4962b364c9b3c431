use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use serde_json::json;

use crate::client::Client;

const STORE: &str = env!("CARGO_BIN_EXE_standin-store");
const ENGINE: &str = env!("CARGO_BIN_EXE_standin-engine");
const SERVICE: &str = env!("CARGO_BIN_EXE_standin-service");

/// Guards against a stand-in that starts without a required option, and against errors that are not
/// exactly one line on stderr.
#[test]
fn command_line_table() {
    let cases: [(&str, &str, i32, &str); 11] = [
        (STORE, "--help", 0, "--writes-per-s"),
        (ENGINE, "--help", 0, "--order-ms"),
        (SERVICE, "--help", 0, "--delay-ms"),
        (STORE, "--version", 0, "standin-store 0."),
        (ENGINE, "--version", 0, "standin-engine 0."),
        (SERVICE, "--version", 0, "standin-service 0."),
        (STORE, "", 2, "--listen ADDR is missing"),
        (
            STORE,
            "--listen 127.0.0.1:0 --load absent.json",
            2,
            "absent.json",
        ),
        (
            ENGINE,
            "--listen 127.0.0.1:0 --name e --model m",
            2,
            "--version V is missing",
        ),
        (ENGINE, "--role any", 2, "expected mixed, prefill or decode"),
        (SERVICE, "--listen 127.0.0.1:0 --speed 3", 2, "--speed"),
    ];
    for (program, arguments, code, text) in cases {
        let output = Command::new(program)
            .args(arguments.split_whitespace())
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(code), "{program} {arguments}");
        let stream = if code == 0 {
            &output.stdout
        } else {
            &output.stderr
        };
        let printed = String::from_utf8_lossy(stream);
        assert!(printed.contains(text), "{program} {arguments}: {printed}");
        assert!(code == 0 || printed.lines().count() == 1, "{printed}");
    }
}

/// Guards against a crash fault that responds to the request that triggers it, or exits with a code
/// other than 70.
#[test]
fn crash_exits_with_70() {
    let engine = "--name e --model m --version v --listen 127.0.0.1:0";
    let chat = json!({"model": "m", "messages": [{"role": "user", "content": "a poisonous b"}]});
    let cases = [
        (ENGINE, engine, json!({"mode": "crash"}), None),
        (
            SERVICE,
            "--name s --listen 127.0.0.1:0",
            json!({"mode": "crash"}),
            None,
        ),
        (
            ENGINE,
            engine,
            json!({"mode": "crash_on", "text": "poisonous"}),
            Some(chat),
        ),
    ];
    for (program, arguments, fault, request) in cases {
        let mut child = Command::new(program)
            .args(arguments.split_whitespace())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let client = Client::new(line.split_whitespace().last().unwrap().parse().unwrap());
        let response = client.call("POST", "/faults", &[], &fault.to_string());
        assert_eq!(response.is_ok(), request.is_some(), "{fault}");
        if let Some(request) = request {
            let path = "/v1/chat/completions";
            assert!(
                client
                    .call("POST", path, &[], &request.to_string())
                    .is_err()
            );
        }
        assert_eq!(child.wait().unwrap().code(), Some(70), "{fault}");
    }
}
