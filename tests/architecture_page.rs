//! The table of imports in docs/ARCHITECTURE.md agrees with the `Cargo.toml` files of the crates.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::Path,
};

const PAGE: &str = include_str!("../docs/ARCHITECTURE.md");

type Imports = BTreeMap<String, BTreeSet<String>>;

fn names(text: &str) -> BTreeSet<String> {
    text.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

fn imports_of_page(page: &str) -> Imports {
    let mut imports = Imports::new();
    for line in page.lines().filter(|it| it.starts_with("| `th-")) {
        let cells: Vec<_> = line.split('|').collect();
        let name = names(cells[1]).pop_first().unwrap();
        imports.insert(name, names(cells[3]));
    }
    imports
}

/// Returns the workspace crates that each crate depends on, without its dev-dependencies.
fn imports_of_crates() -> Imports {
    let mut imports = Imports::new();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("crates");
    for folder in fs::read_dir(root).unwrap() {
        let folder = folder.unwrap();
        let text = fs::read_to_string(folder.path().join("Cargo.toml")).unwrap();
        let (_, rest) = text.split_once("\n[dependencies]\n").unwrap();
        let own = rest.split("\n[").next().unwrap().lines().filter(|it| it.starts_with("th-"));
        let own = own.map(|it| it.split(['.', ' ', '=']).next().unwrap().to_owned());
        imports.insert(folder.file_name().into_string().unwrap(), own.collect());
    }
    imports
}

#[test]
fn the_page_has_each_import_and_no_other() {
    assert_eq!(imports_of_page(PAGE), imports_of_crates());
}

#[test]
fn a_difference_is_detected() {
    let page = PAGE.replace("| `th-platform`, `th-protocol`, `th-report` |", "| `th-protocol` |");
    assert_ne!(imports_of_page(&page), imports_of_crates());
}
