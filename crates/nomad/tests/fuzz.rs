//! Whatever is thrown at the readers: no panic, and bounded work. `PEARFORD_FUZZ_MS=600000` goes on for
//! ten minutes; a failing input is reported by its seed (`arbtest`).

use arbtest::arbtest;
use pearford_nomad::operator::NomadSettings;
use pearford_nomad::source;
use pearford_nomad::translate::Context;

fn budget() -> u64 {
    std::env::var("PEARFORD_FUZZ_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(1_500)
}

fn read(text: &str) {
    let context = Context { settings: NomadSettings::default(), zones: Vec::new() };
    if let Ok(job) = source::job(text, &[], &context) {
        assert!(job.submissions().len() <= 256);
    }
}

#[test]
fn bytes_as_a_file() {
    arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        read(&String::from_utf8_lossy(&bytes));
        Ok(())
    })
    .budget_ms(budget());
}

/// Pieces of real files in any order reach deeper than bytes do.
#[test]
fn pieces_of_files() {
    const PIECES: &[&str] = &[
        "job \"a\" {\n",
        "group \"g\" {\n",
        "task \"t\" {\n",
        "}\n",
        "resources {\n",
        "cores = ",
        "memory = ",
        "1",
        "-1",
        "1e999",
        "\"x\"",
        "\"${",
        "}\"",
        "[",
        "]",
        "(",
        ")",
        "{",
        "for x in ",
        "range(10000)",
        " : ",
        "x",
        "x * x",
        "\n",
        ", ",
        "device \"gpu\" {\n",
        "count = ",
        "meta {\n",
        "pearford_gang = ",
        "true",
        "null",
        "locals {\n",
        "variable \"v\" {\n",
        "default = ",
        "var.v",
        "local.a",
        "a = ",
        "dynamic \"device\" {\n",
        "for_each = ",
        "content {\n",
        "<<-EOT\n",
        "EOT\n",
        "%{ if true }",
        "%{ endif }",
        "? ",
        "!",
        "+ ",
        "jsonencode(",
        "replace(",
        "format(\"%064d\", ",
        "join(\",\", ",
        "concat(",
        "merge(",
        "flatten(",
        "distinct(",
        "\"Job\"",
        ":",
        "{\"ID\":\"x\",\"TaskGroups\":",
    ];
    arbtest(|u| {
        let picks: Vec<u8> = u.arbitrary()?;
        let text: String = picks.iter().take(400).map(|p| PIECES[usize::from(*p) % PIECES.len()]).collect();
        read(&text);
        Ok(())
    })
    .budget_ms(budget());
}

/// Small files that try to take much: each is answered, with an error, at little cost.
#[test]
fn hostile_files_end_soon() {
    let nested = |open: &str, close: &str, n: usize| {
        format!("job \"x\" {{\n a = {}1{}\n}}\n", open.repeat(n), close.repeat(n))
    };
    let doubling: String =
        (0..60).map(|i| format!("  v{} = \"${{local.v{i}}}${{local.v{i}}}\"\n", i + 1)).collect();
    let hostile = [
        nested("[", "]", 50_000),
        nested("(", ")", 50_000),
        nested("{a = ", "}", 30_000),
        nested("!", "", 100_000),
        nested("-", "", 100_000),
        nested("true ? 1 : ", "", 20_000),
        nested("1 + ", "", 50_000),
        nested("upper(", ")", 30_000),
        nested("\"${", "}\"", 30_000),
        format!("{}{}", "a {\n".repeat(40_000), "}\n".repeat(40_000)),
        format!("locals {{\n  v0 = \"xxxxxxxx\"\n{doubling}}}\njob \"x\" {{\n  name = local.v60\n}}\n"),
        "job \"x\" {\n  a = [for a in range(10000) : [for b in range(10000) : [for c in range(10000) : a]]]\n}\n".into(),
        "job \"x\" {\n  a = replace(replace(join(\"\", [for i in range(10000) : \"aaaaaaaa\"]), \"a\", \"bbbbbbbb\"), \"b\", \"cccccccc\")\n}\n".into(),
        "job \"x\" {\n  dynamic \"group\" {\n    for_each = range(10000)\n    content {\n      dynamic \"task\" {\n        for_each = range(10000)\n        content {}\n      }\n    }\n  }\n}\n".into(),
        format!("{}{}", "{\"a\":".repeat(60_000), "}".repeat(60_000)),
        format!("{{\"TaskGroups\":{}{}}}", "[".repeat(100), "]".repeat(100)),
        "x".repeat(10_000_000),
    ];
    for text in hostile {
        let context = Context { settings: NomadSettings::default(), zones: Vec::new() };
        // Tests run on small stacks, as a server's threads do.
        let faults = source::job(&text, &[], &context).expect_err("refused");
        let reported: usize = faults.iter().map(|f| f.to_string().len()).sum();
        assert!(
            faults.len() <= 101 && reported < 100_000,
            "{} faults, {reported} bytes: {:.200}",
            faults.len(),
            text
        );
    }
}
