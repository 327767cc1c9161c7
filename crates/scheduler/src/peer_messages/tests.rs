use super::*;

#[test]
fn decodes_encoded_messages_and_rejects_invalid_bytes() {
    let bytes = encode(
        &"n0".into(),
        PeerMessage::Ping {
            store_reachable: true,
            fencing_token_seen: FencingToken(4),
            broadcast_seen: BroadcastPosition { fencing_token: FencingToken(4), sequence: 9 },
            has_unanswered_heartbeats: false,
            last_heartbeat_by_zone: vec![ZoneHeartbeat {
                zone: "z".into(),
                age: Duration::from_millis(1200),
            }],
        },
    );
    let decoded = decode(&bytes).expect("readable");
    assert!(matches!(decoded.message, PeerMessage::Ping { fencing_token_seen: FencingToken(4), .. }));
    assert!(decode(&bytes[..3]).is_none());
    assert!(decode(&[0xff; 40]).is_none());
}
