use super::*;

#[test]
fn progress_of_the_largest_array_is_restored_from_its_chunks() {
    let mut done = TaskSet::default();
    for task in (0..100_000).filter(|task| task % 7 != 3) {
        assert!(done.insert(task));
        assert!(!done.insert(task));
    }
    let mut restored = TaskSet::default();
    for chunk in 0..100_000u32.div_ceil(TASKS_PER_CHUNK) {
        let value = done.chunk_value(chunk);
        assert!(value.len() < 2048, "a chunk's value must stay below 2048 bytes, is {}", value.len());
        restored.add_chunk(chunk, &value).expect("readable");
    }
    assert_eq!(
        (restored.count(), restored.contains(3), restored.contains(99_999)),
        (done.count(), false, done.contains(99_999))
    );
}
