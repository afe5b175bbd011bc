//! Relative links between pages point to files that exist.

use std::{
    fs,
    path::{Path, PathBuf},
};

use rstest::rstest;

/// Returns the relative links of a page whose target does not exist.
fn broken_links(page: &Path, text: &str) -> Vec<String> {
    let mut broken = Vec::new();
    for part in text.split("](").skip(1) {
        let target = part.split([')', '#']).next().unwrap();
        if target.is_empty() || target.starts_with("http") {
            continue;
        }
        if !page.parent().unwrap().join(target).exists() {
            broken.push(target.to_owned());
        }
    }
    broken
}

#[rstest]
fn links_lead_to_files(
    #[files("*.md")]
    #[files("docs/**/*.md")]
    page: PathBuf,
) {
    let text = fs::read_to_string(&page).unwrap();
    assert_eq!(broken_links(&page, &text), Vec::<String>::new());
}

#[test]
fn a_broken_link_is_detected() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("README.md");
    assert_eq!(broken_links(&page, "[a](docs/GLOSSARY.md) [b](docs/none.md)"), ["docs/none.md"]);
}
