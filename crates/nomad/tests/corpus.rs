//! Job files of our own, from simple to full of features: each gives the submissions or the faults
//! beside it. `PEARFORD_BLESS=1 cargo test -p pearford-nomad --test corpus` writes them anew, to be
//! read before they are committed.

use pearford_nomad::operator::NomadSettings;
use pearford_nomad::source;
use pearford_nomad::translate::Context;
use pearford_scheduler::wire::users;
use std::path::Path;

fn outcome(file: &str, text: &str, settings: &NomadSettings) -> String {
    let mapped = ["-mhz.", "-device-model.", "-mapped."].iter().any(|part| file.contains(part));
    let settings = if mapped { settings.clone() } else { NomadSettings::default() };
    match source::job(text, &[], &Context { settings, zones: Vec::new() }) {
        Ok(job) => {
            let lines = job.submissions();
            for (line, group) in lines.iter().zip(&job.groups) {
                // What is printed is what the native door reads.
                let (_, spec) = users::submission(line.as_bytes()).expect("a valid native submission");
                assert_eq!(spec, group.spec, "{file}: {line}");
            }
            lines.join("\n") + "\n"
        }
        Err(faults) => faults.iter().map(|f| format!("{f}\n")).collect(),
    }
}

#[test]
fn every_file_gives_the_outcome_beside_it() {
    let corpus = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let settings = std::fs::read_to_string(corpus.join("operator.yaml")).expect("readable");
    let settings = NomadSettings::parse(&settings).expect("valid");
    let mut wrong = Vec::new();
    let mut seen = 0;
    for entry in std::fs::read_dir(&corpus).expect("a folder") {
        let path = entry.expect("an entry").path();
        let file = path.file_name().and_then(|n| n.to_str()).unwrap_or_default().to_string();
        if !file.ends_with(".hcl") && !file.ends_with(".json") {
            continue;
        }
        seen += 1;
        let text = std::fs::read_to_string(&path).expect("readable");
        let got = outcome(&file, &text, &settings);
        let accepted = got.starts_with('{');
        assert_eq!(accepted, file.starts_with("ok-"), "{file}: {got}");
        let beside = path.with_extension(if file.ends_with(".hcl") { "hcl.out" } else { "json.out" });
        if std::env::var_os("PEARFORD_BLESS").is_some() {
            std::fs::write(&beside, &got).expect("writable");
        } else if std::fs::read_to_string(&beside).unwrap_or_default() != got {
            wrong.push(format!("{file} gives\n{got}"));
        }
    }
    assert!(seen >= 48, "{seen} files");
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
