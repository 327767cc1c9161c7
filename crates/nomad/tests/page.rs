//! What is written about fields is made from the table that decides them.

use pearford_nomad::fields::{FIELDS, Rule, as_markdown};

#[test]
fn the_operators_page_holds_the_table_as_it_is() {
    let page = include_str!("../../../docs/operating/nomad.md");
    assert!(
        page.ends_with(&as_markdown()),
        "put what `pearford nomad fields` prints at the end of docs/operating/nomad.md"
    );
}

#[test]
fn the_schema_knows_the_same_fields_and_every_refusal_says_what_to_do() {
    let schema = pearford_nomad::schema::job();
    for field in FIELDS.iter().filter(|f| !f.json.is_empty()) {
        let form = if field.form == "job" { &schema } else { &schema["$defs"][field.form] };
        assert!(form["properties"].get(field.json).is_some(), "{} {}", field.form, field.json);
        if let Rule::Refused(why, instead) = field.rule {
            assert!(!why.is_empty() && !instead.is_empty(), "{} {}", field.form, field.json);
        }
    }
    assert_eq!(schema["additionalProperties"], false);
}
