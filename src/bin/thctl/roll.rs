//! Commands that use the platform's service: roll and show.

use std::sync::Arc;

use eyre::{Result, WrapErr};
use serde_json::{Value, json};
use th_operator::{HeadInfo, Outcome, Rejection, RollError, RollSettings, read_bundle, roll};
use th_platform::{HttpPlatform, Platform};
use th_protocol::{SignedBundle, Version};

use crate::{
    args::{Roll, Show},
    bundle::{list_faults, read_file, write_file},
    output::{Exit, Output},
};

/// Creates a client of the platform's service; `http://` may be left out of its URL.
fn store_client(url: &str) -> Arc<dyn Platform> {
    if url.contains("://") {
        return Arc::new(HttpPlatform::new(url));
    }
    Arc::new(HttpPlatform::new(&format!("http://{url}")))
}

pub(crate) async fn roll_file(args: &Roll) -> Result<Output> {
    let text = read_file(&args.file)?;
    let signed: SignedBundle = serde_json::from_str(&text).wrap_err_with(|| {
        let file = args.file.display();
        format!("{file} is not a signed bundle; make one with `thctl bundle sign`")
    })?;
    let outcome = roll(&store_client(&args.store), &signed, RollSettings::default()).await;
    Ok(report_outcome(outcome))
}

fn report_outcome(outcome: Outcome) -> Output {
    match outcome {
        Outcome::Rolled { version, replaced_by } => rolled("rolled", version, replaced_by),
        Outcome::AlreadyRolled { version, replaced_by } => {
            rolled("already-rolled", version, replaced_by)
        }
        Outcome::Conflict(head) => Output {
            exit: Exit::Conflict,
            text: format!("not rolled: {head} is in force"),
            help: Some(
                "look at it with `thctl bundle show --out FILE`, make your change there, raise \
                 the version, sign and roll again"
                    .into(),
            ),
            json: json!({ "outcome": "conflict", "won": head }),
        },
        Outcome::Rejected(Rejection::Faults(faults)) => list_faults(&faults),
        Outcome::Rejected(rejection) => {
            let json = json!({ "outcome": "refused", "error": rejection.to_string() });
            let text = format!("not rolled: {rejection}");
            Output { exit: Exit::Failed, text, help: Some(help_for(&rejection).into()), json }
        }
        Outcome::Unreachable(cause) => Output {
            exit: Exit::Unreachable,
            text: format!("not rolled: {cause}"),
            help: Some(
                "the bundle in force is unchanged; try again when the service answers".into(),
            ),
            json: json!({ "outcome": "unreachable", "error": cause }),
        },
        Outcome::Unknown(cause) => Output {
            exit: Exit::Unknown,
            text: format!("unknown whether it took effect: {cause}"),
            help: Some("repeat the same roll: that is safe, and resolves the outcome".into()),
            json: json!({ "outcome": "unknown", "error": cause }),
        },
    }
}

fn rolled(outcome: &str, version: Version, replaced_by: Option<HeadInfo>) -> Output {
    let mut text = match outcome {
        "rolled" => format!("rolled version {version}"),
        _ => format!("version {version} was rolled before"),
    };
    if let Some(replaced_by) = &replaced_by {
        text.push_str(&format!("; {replaced_by} has replaced it since"));
    }
    let json = json!({ "outcome": outcome, "version": version, "since": replaced_by });
    Output::done(text, json).with_help("`thctl status` shows when it is in force at each entry VM")
}

fn help_for(rejection: &Rejection) -> &'static str {
    match rejection {
        Rejection::Sign(_) => {
            "sign it with the key of an operator that the bundle in force lists; \
             `thctl bundle show` lists them"
        }
        Rejection::Parts(_) => "sign the bundle again: the signed file was changed or truncated",
        Rejection::VersionGap { .. } => {
            "set `version` to the one in force plus one, and sign again"
        }
        Rejection::PartMismatch(_) => {
            "the store holds a damaged part; find out what else writes to the store"
        }
        Rejection::MalformedHead(_) => {
            "the store's head is damaged; see docs/operate/bad-bundle.md"
        }
        Rejection::Faults(_) => "correct the faults, and sign again",
    }
}

pub(crate) async fn show(args: &Show) -> Result<Output> {
    let (head, bundle) = match read_bundle(&store_client(&args.store)).await {
        Ok(Some(it)) => it,
        Ok(None) => {
            let json = json!({ "version": Value::Null });
            return Ok(Output::done("no bundle was rolled yet", json));
        }
        Err(RollError::Platform(e)) => {
            let help = "check --store, and whether the platform's service answers";
            return Ok(Output::failed(Exit::Unreachable, e.to_string()).with_help(help));
        }
        Err(e) => {
            let help = "see docs/operate/bad-bundle.md";
            return Ok(Output::failed(Exit::Failed, e.to_string()).with_help(help));
        }
    };
    if let Some(out) = &args.out {
        write_file(out, &serde_json::to_string_pretty(&bundle)?)?;
    }
    let operators: Vec<_> = bundle.operators.keys().map(|it| it.as_str()).collect();
    let text = format!(
        "version {} signed by {}\ndigest {}\nservices {}, regions {}, zones {}, blocks {}\n\
         operators who may sign the next: {}",
        head.version,
        head.signed.operator,
        head.signed.digest(),
        bundle.services.len(),
        bundle.regions.len(),
        bundle.zones.len(),
        bundle.blocks.len(),
        operators.join(", "),
    );
    let json = json!({
        "version": head.version, "operator": head.signed.operator,
        "digest": head.signed.digest(), "bundle": bundle,
    });
    Ok(Output::done(text, json))
}
