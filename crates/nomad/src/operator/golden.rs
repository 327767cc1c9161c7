//! Golden settings: every key of the operators' `nomad` section arrives where it belongs.

use super::*;

const SECTION: &str = include_str!("../../tests/golden/operator.yaml");

fn tokens() -> Vec<Token> {
    let tail = "123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
    let ci = Token {
        name: "ci".into(),
        sha256: format!("0{tail}"),
        namespaces: vec!["red".into(), "*".into()],
        write: true,
    };
    let reader = Token {
        name: "reader".into(),
        sha256: format!("1{tail}"),
        namespaces: vec!["blue".into()],
        write: false,
    };
    vec![ci, reader]
}

#[test]
fn golden_operator_keys() {
    // Written out in full: a new key does not compile until it is in the file and here.
    let expected = NomadSettings {
        listen: Some("127.0.0.1:4646".parse().expect("an address")),
        tokens: tokens(),
        max_waiting: 255,
        max_blocking: 599,
        max_wait_s: 59.5,
        max_connections: 699,
        mhz_per_cpu: Some(2500.5),
        mb_per_gb: 1000.0,
        namespaces: [("default".into(), "green".into())].into(),
        devices: [("nvidia/gpu/a100".into(), vec!["g8".into(), "g16".into()])].into(),
        attributes: [
            ("${attr.platform.type}".into(), AttributeMeaning::MachineType),
            ("${attr.platform.zone}".into(), AttributeMeaning::Zone),
        ]
        .into(),
        image_gb: Some(1.5),
        expected_s: Some(30.5),
    };
    assert_eq!(NomadSettings::parse(SECTION), Ok(expected));
}
