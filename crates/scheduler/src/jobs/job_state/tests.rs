use super::*;

#[test]
fn progress_of_the_largest_array_survives_its_chunks() {
    let mut bits = TaskSet::default();
    for i in (0..100_000).filter(|i| i % 7 != 3) {
        assert!(bits.add(i));
        assert!(!bits.add(i));
    }
    let mut back = TaskSet::default();
    for n in 0..100_000u32.div_ceil(CHUNK) {
        let value = bits.chunk_value(n);
        assert!(value.len() < 2048, "fits any value limit, is {}", value.len());
        back.add_chunk(n, &value).expect("readable");
    }
    assert_eq!((back.count(), back.has(3), back.has(99_999)), (bits.count(), false, bits.has(99_999)));
}
