//! Checks that arbitrary input never makes the parsers of files and catalogue objects panic.

use yucca_io::catalogue_file;
use yucca_io::settings::Settings;
use yuccacove::catalogue::{KEY_PREFIXES, Object};

const CASES: usize = 2_000;

/// Fragments of INI files. Texts that contain them are more likely to pass the INI parser and reach
/// the checks of sections and keys.
const FRAGMENTS: [&str; 16] = [
    "[fleet]\n",
    "[host a]\n",
    "[host]\n",
    "[store]\n",
    "[entry e]\n",
    "[engine x]\n",
    "[limits]\n",
    "address = ",
    "127.0.0.1:1",
    "zone = z\n",
    "= \n",
    "max_connections = 99999999999999999999\n",
    "checks_fence = maybe\n",
    "[",
    "\u{fffd}",
    "\n",
];

fn text(fragments: &[u8]) -> String {
    fragments
        .iter()
        .map(|fragment| match FRAGMENTS.get(usize::from(*fragment)) {
            Some(fragment) => (*fragment).to_owned(),
            None => char::from(*fragment).to_string(),
        })
        .collect()
}

/// Guards against a settings or catalogue file that crashes a process instead of causing a numbered
/// error.
#[test]
fn files_arbitrary_text() {
    bolero::check!()
        .with_iterations(CASES)
        .with_type::<Vec<u8>>()
        .for_each(|fragments| {
            let text = text(fragments);
            if let Err(error) = Settings::parse("fleet.ini", &text) {
                assert!((4001..=4005).contains(&error.code().number()), "{error}");
            }
            if let Err(error) = catalogue_file::parse("catalogue.ini", &text) {
                assert!((4001..=4199).contains(&error.code().number()), "{error}");
            }
        });
}

/// Guards against an object in the store that crashes the processes that watch it.
#[test]
fn objects_arbitrary_json() {
    bolero::check!()
        .with_iterations(CASES)
        .with_type::<(u8, String, Vec<u8>)>()
        .for_each(|(kind, name, value)| {
            let prefix = KEY_PREFIXES[usize::from(*kind) % KEY_PREFIXES.len()];
            let json = serde_json::from_slice(value).unwrap_or_else(
                |_| serde_json::json!({ "owner": name, "organisation": 3, "address": name }),
            );
            let _ = Object::parse(&format!("{prefix}{name}"), &json);
        });
}
