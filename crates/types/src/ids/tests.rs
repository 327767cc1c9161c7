use super::*;

#[test]
fn parses_displayed_task_id() {
    let task = TaskId { job: "team/nightly".into(), index: 3 };
    assert_eq!(task.to_string(), "team/nightly/3");
    assert_eq!(TaskId::parse("team/nightly/3"), Some(task));
    assert_eq!(TaskId::parse("nightly"), None);
    assert_eq!(TaskId::parse("nightly/x"), None);
}
