//! What a command prints, and the code that it exits with.

use std::process::ExitCode;

use serde_json::{Value, json};

/// Exit codes; they stay as they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// It is done.
    Done = 0,
    /// It was refused, or faults were found.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Nobody can tell whether it took effect.
    Unknown = 3,
    /// Another operator was first.
    Conflict = 4,
    /// Something could not be reached.
    Unreachable = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// What a command has to say.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) exit: Exit,
    /// For people.
    pub(crate) text: String,
    /// What to do next, for people.
    pub(crate) help: Option<String>,
    /// For programs: an object.
    pub(crate) json: Value,
}

impl Output {
    pub(crate) fn done(text: impl Into<String>, json: Value) -> Output {
        Output { exit: Exit::Done, text: text.into(), help: None, json }
    }

    pub(crate) fn failed(exit: Exit, text: impl Into<String>) -> Output {
        let text = text.into();
        let json = json!({ "error": text });
        Output { exit, text, help: None, json }
    }

    pub(crate) fn with_help(self, help: impl Into<String>) -> Output {
        Output { help: Some(help.into()), ..self }
    }

    /// Prints JSON to stdout; or text, to stdout if it is done and else to stderr. Help goes to
    /// stderr, so that a script can use the text alone.
    pub(crate) fn print(&self, json: bool) {
        if json {
            println!("{}", self.json_with_exit());
            return;
        }
        let text = self.text.trim_end();
        match self.exit {
            Exit::Done => println!("{text}"),
            _ => eprintln!("{text}"),
        }
        if let Some(help) = &self.help {
            eprintln!("help: {help}");
        }
    }

    fn json_with_exit(&self) -> Value {
        let mut json = self.json.clone();
        if let Value::Object(fields) = &mut json {
            fields.insert("exit".into(), (self.exit as u8).into());
            if let Some(help) = &self.help {
                fields.insert("help".into(), help.as_str().into());
            }
        }
        json
    }
}
