//! Commands that work on local files: check, keygen and sign.

use std::{
    fs::{self, OpenOptions},
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::Path,
};

use eyre::{Result, WrapErr};
use rand::RngCore;
use serde_json::json;
use th_protocol::{Bundle, Fault, Signer, parse_bundle};

use crate::{
    args::{Check, Keygen, Sign},
    output::{Exit, Output},
};

/// Only the owner may read a secret key.
const KEY_FILE_MODE: u32 = 0o600;

pub(crate) fn check_file(args: &Check) -> Result<Output> {
    let bundle = match parse_bundle(&read_file(&args.file)?) {
        Ok(bundle) => bundle,
        Err(faults) => return Ok(list_faults(&faults)),
    };
    let text = format!("{}: no faults; version {}", args.file.display(), bundle.version);
    Ok(Output::done(text, json!({ "version": bundle.version, "faults": [] })))
}

pub(crate) fn list_faults(faults: &[Fault]) -> Output {
    let noun = if faults.len() == 1 { "fault" } else { "faults" };
    let mut text = format!("{} {noun}\n", faults.len());
    for fault in faults {
        text.push_str(&format!("{fault}\n"));
    }
    let json = json!({ "faults": faults });
    Output { exit: Exit::Failed, text, help: None, json }
}

pub(crate) fn keygen(args: &Keygen) -> Result<Output> {
    let mut secret = [0; 32];
    rand::rng().fill_bytes(&mut secret);
    let operator = "keygen".parse().expect("the name is an id");
    let public = Signer::new(operator, secret).public_key_hex();
    let opened =
        OpenOptions::new().write(true).create_new(true).mode(KEY_FILE_MODE).open(&args.out);
    let mut file = opened.wrap_err_with(|| format!("creating {}", args.out.display()))?;
    writeln!(file, "{}", hex::encode(secret))
        .wrap_err_with(|| format!("writing {}", args.out.display()))?;
    let json = json!({ "public": public, "file": args.out });
    let help = "add the public key to the bundle's `operators`, and keep the file secret";
    Ok(Output::done(public, json).with_help(help))
}

pub(crate) fn sign(args: &Sign) -> Result<Output> {
    let bundle = match parse_bundle(&read_file(&args.file)?) {
        Ok(bundle) => bundle,
        Err(faults) => return Ok(list_faults(&faults)),
    };
    let signer = Signer::from_hex(args.operator.clone(), &read_file(&args.key)?)
        .wrap_err_with(|| format!("reading {}", args.key.display()))?;
    let signed = signer.sign_bundle(&bundle, args.base);
    write_file(&args.out, &serde_json::to_string(&signed)?)?;
    let digest = signed.head.digest();
    let text = format!(
        "{}: version {} signed by {}, {} parts, digest {digest}",
        args.out.display(),
        bundle.version,
        args.operator,
        signed.parts.len(),
    );
    let json = json!({
        "version": bundle.version, "operator": args.operator, "digest": digest,
        "parts": signed.parts.len(), "file": args.out,
    });
    let output = Output::done(text, json);
    if lists_signer(&bundle, &signer, args) {
        return Ok(output);
    }
    let operator = &args.operator;
    let help = format!(
        "this bundle's `operators` do not have your key for {operator}: the signature is valid \
         only if the bundle in force has it, and you cannot sign the next bundle"
    );
    Ok(output.with_help(help))
}

fn lists_signer(bundle: &Bundle, signer: &Signer, args: &Sign) -> bool {
    let known = bundle.operators.get(&args.operator);
    known.is_some_and(|it| it.eq_ignore_ascii_case(&signer.public_key_hex()))
}

pub(crate) fn read_file(path: &Path) -> Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))
}

pub(crate) fn write_file(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).wrap_err_with(|| format!("writing {}", path.display()))
}
