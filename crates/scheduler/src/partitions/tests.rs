use super::*;

#[test]
fn messages_survive_the_wire_and_garbage_does_not() {
    let bytes = encode(
        &"n0".into(),
        PeerMessage::Ping {
            store_reachable: true,
            fencing_token_seen: FencingToken(4),
            broadcast_seen: (FencingToken(4), 9),
            hears_workers: false,
            zones_heard: vec![("z".into(), Duration::from_millis(1200))],
        },
    );
    let back = decode(&bytes).expect("readable");
    assert!(matches!(back.message, PeerMessage::Ping { fencing_token_seen: FencingToken(4), .. }));
    assert!(decode(&bytes[..3]).is_none());
    assert!(decode(&[0xff; 40]).is_none());
}
