use super::*;

fn token(name: &str, secret: &str, namespaces: &[&str], write: bool) -> Token {
    let hash = Sha256::digest(secret.as_bytes());
    let sha256 = hash.iter().map(|b| format!("{b:02x}")).collect();
    let namespaces = namespaces.iter().map(ToString::to_string).collect();
    Token { name: name.into(), sha256, namespaces, write }
}

#[test]
fn token_permits_only_its_namespaces_and_operations() {
    let known = Tokens::new(&[token("ci", "s3cret", &["red"], true), token("eyes", "look", &["*"], false)]);
    let known = known.expect("valid");
    let ci = known.caller(Some("s3cret")).expect("known");
    assert!(ci.may_write("red") && ci.may_read("red") && !ci.may_read("blue") && !ci.may_write("blue"));
    let eyes = known.caller(Some("look")).expect("known");
    assert!(eyes.may_read("blue") && !eyes.may_write("blue"));
    for unknown in [None, Some(""), Some("s3cre"), Some("s3cret ")] {
        assert_eq!(known.caller(unknown), None, "{unknown:?}");
    }
    assert!(Tokens::new(&[Token { sha256: "xyz".into(), ..token("a", "b", &["*"], true) }]).is_err());
    assert!(Tokens::new(&[]).expect("valid").caller(None).is_some_and(|c| c.may_write("any")));
}
