//! Runs the operators' tool in a temporary folder.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use serde_json::{Value, json};

/// A folder for one test, removed when dropped.
pub(crate) struct TestFolder(pub(crate) PathBuf);

impl TestFolder {
    pub(crate) fn new(test: &str) -> TestFolder {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        TestFolder(path)
    }

    pub(crate) fn file(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    /// Writes a bundle with the public keys of `operators`, and returns its path.
    pub(crate) fn bundle(&self, version: u64, operators: &[(&str, &str)]) -> String {
        let mut it = json!({
            "version": version,
            "regions": { "north": { "cap": 40 } },
            "zones": { "n1": { "region": "north" } },
            "services": { "roster": {
                "regions": { "north": { "weight": 1, "cap": 20 } },
                "operations": { "book": { "idempotent": false, "deadline": 2000, "size": 4000 } },
                "backends": { "b1": {
                    "zone": "n1", "address": "10.0.0.1:80", "slots": 4, "connections": 330,
                } },
                "shift": { "cap": 200, "window": 10000 },
                "slo": { "latency": 250, "objective": 990, "headroom": 100, "drain": 30000 },
            }},
            "operators": {},
        });
        for (name, key) in operators {
            it["operators"][*name] = (*key).into();
        }
        let path = self.file(&format!("bundle-{version}.json"));
        fs::write(&path, it.to_string()).unwrap();
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs `thctl`; returns the exit code, and standard output followed by standard error.
pub(crate) fn thctl(args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_thctl")).args(args).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

pub(crate) fn thctl_json(args: &[&str]) -> (i32, Value) {
    let (code, text) = thctl(&[args, &["--json"]].concat());
    let value: Value = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"));
    assert_eq!(value["exit"], code, "{value}");
    (code, value)
}

pub(crate) fn keygen(folder: &TestFolder, name: &str) -> String {
    let (code, output) = thctl_json(&["bundle", "keygen", "--out", &folder.file(name)]);
    assert_eq!(code, 0);
    output["public"].as_str().unwrap().to_owned()
}

pub(crate) fn sign(folder: &TestFolder, bundle: &str, operator: &str) -> String {
    let (key, out) = (folder.file(operator), format!("{bundle}.{operator}"));
    let (code, text) =
        thctl(&["bundle", "sign", bundle, "--key", &key, "--operator", operator, "--out", &out]);
    assert_eq!(code, 0, "{text}");
    out
}
