//! Wire and storage formats, byte for byte.
//!
//! The files under `fixtures/` hold what commit 1d0d99e wrote and received: records of the key-value
//! store, frames between controllers, and HTTP bodies. They represent data that is already stored and
//! processes that already run, so they are never regenerated: an intended format change adds its own
//! cases, and the existing ones stay for as long as the old format must be readable.
//!
//! Identifiers of the library may be renamed; names in a fixture may not.
//! One text is newer: `too-large` in `responses.txt` named reasons that are no longer answered with 400.

mod cloud;
mod loopback;
mod peers;
mod records;
mod settings;
mod store;
mod users;
mod workers;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The cases of one fixture file, one `name: text` per line. Every case must be used; all failures are
/// reported together.
struct Fixtures {
    file: &'static str,
    texts: BTreeMap<&'static str, &'static str>,
    used: BTreeSet<String>,
    failures: Vec<String>,
}

impl Fixtures {
    fn new(file: &'static str, content: &'static str) -> Self {
        let mut texts = BTreeMap::new();
        for line in content.lines() {
            let (name, text) = line.split_once(": ").expect("line must be `name: text`");
            assert!(
                texts.insert(name, text).is_none(),
                "{file}: duplicate case {name}"
            );
        }
        Self {
            file,
            texts,
            used: BTreeSet::new(),
            failures: Vec::new(),
        }
    }

    /// The text of a case. A missing case is recorded as a failure and gives an empty text.
    fn text(&mut self, name: &str) -> &'static str {
        self.used.insert(name.into());
        let text = self.texts.get(name).copied();
        if text.is_none() {
            self.fail(name, "fixture is missing".into());
        }
        text.unwrap_or_default()
    }

    fn fail(&mut self, name: &str, why: String) {
        self.failures.push(format!("{}: {name}: {why}", self.file));
    }

    /// Records a failure unless the actual text equals the expected one.
    fn check<T: PartialEq + Debug>(&mut self, name: &str, what: &str, found: T, expected: T) {
        if found != expected {
            let why = format!("{what}\n     found: {found:?}\n  expected: {expected:?}");
            self.fail(name, why);
        }
    }

    /// Checks that the encoded text equals the fixture byte for byte.
    fn check_encoded(&mut self, name: &str, encoded: &str) {
        let text = self.text(name);
        self.check(name, "encoded value differs", encoded, text);
    }

    /// Checks that a JSON record is encoded exactly as in its fixture and decoded from it unchanged.
    fn check_round_trip<T>(&mut self, name: &str, record: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let encoded = serde_json::to_string(record).expect("record must be serializable");
        self.check_encoded(name, &encoded);
        let text = self.texts.get(name).copied().unwrap_or_default();
        match serde_json::from_str::<T>(text) {
            Ok(decoded) => self.check(name, "decoded value differs", &decoded, record),
            Err(error) => self.fail(name, format!("cannot be decoded: {error}")),
        }
    }

    fn finish(mut self) {
        for name in std::mem::take(&mut self.texts).into_keys() {
            if !self.used.contains(name) {
                self.fail(name, "unused fixture".into());
            }
        }
        assert!(self.failures.is_empty(), "\n{}\n", self.failures.join("\n"));
    }
}
