use super::*;

#[test]
fn heartbeats_and_commands_match_the_protocol() {
    let heartbeat: Heartbeat = serde_json::from_str(
            r#"{"host":"m-000231","addr":"10.1.0.232:9000","flavor":"g8","region":"a","preemptible":true,
            "tenure":1,"serial":88,"fence":41,"warning_s":null,"new_field":{},
            "shards":[{"shard":"req-000412/3","try":2,"phase":"running"},{"shard":"req-000398/0","try":1,"phase":"ended","cause":"done"},
            {"shard":"req-000399/0","try":1,"phase":"ended","cause":"no_room"},{"shard":"req-1/0","try":1,"phase":"dreaming"}]}"#,
        )
        .expect("valid");
    assert_eq!(heartbeat.tasks[0].task(), TaskId::parse("req-000412/3"));
    assert_eq!(heartbeat.tasks[1].cause, Some(Cause::Done));
    assert_eq!(heartbeat.tasks[2].cause, Some(Cause::NoRoom));
    assert_eq!(heartbeat.tasks[3].phase, TaskPhase::Other);
    let machine = &heartbeat.machine;
    let position = heartbeat.position();
    let content = heartbeat.content();
    let relayed = Heartbeat::from_content(machine, position, &content).expect("readable");
    assert_eq!(format!("{relayed:?}"), format!("{heartbeat:?}"), "the relayed content must hold every field");
    let damaged = Heartbeat::from_content(machine, position, &content[1..]);
    assert!(damaged.is_none_or(|heartbeat| heartbeat.tasks.len() != 4));
    let task = TaskId::parse("req-000412/4").expect("valid");
    let commands = [
        WorkerCommand::Start { task: task.clone(), attempt: Attempt(2) },
        WorkerCommand::Stop { task: task.clone(), attempt: Attempt(1), grace_s: 10.0 },
        WorkerCommand::Forget { task, attempt: Attempt(1) },
    ];
    assert_eq!(
        answer(FencingToken(41), &commands),
        r#"{"fence":41,"orders":[{"verb":"start","shard":"req-000412/4","try":2},{"verb":"stop","shard":"req-000412/4","try":1,"drain_s":10.0},{"verb":"forget","shard":"req-000412/4","try":1}]}"#
    );
    assert_eq!(redirect(None), "{}");
}
