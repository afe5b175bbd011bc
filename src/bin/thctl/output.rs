//! The output and the exit code of a command.

use std::process::ExitCode;

use serde_json::{Value, json};

/// Exit codes; scripts rely on the numbers, so they must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed: the request was rejected, or faults were found in a bundle.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The change may or may not have taken effect.
    Unknown = 3,
    /// Another operator rolled a bundle first.
    Conflict = 4,
    /// The platform's service or an entry VM could not be reached.
    Unreachable = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

/// The result of a command, as text and as JSON.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) exit: Exit,
    /// Text for people.
    pub(crate) text: String,
    /// Advice on what to do next, for people.
    pub(crate) help: Option<String>,
    /// JSON object for programs.
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

    /// Prints the JSON to stdout; or the text, to stdout if the command succeeded and else to stderr.
    /// Help goes to stderr, so that a script can use the text alone.
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
