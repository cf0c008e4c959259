use super::*;

#[test]
fn bytes_are_sent_in_order_and_large_answers_are_not_copied() {
    let large = Bytes::from(vec![7; 5_000]);
    let mut out = OutputBuffer::new();
    out.extend_from_slice(b"head ");
    out.push(large.clone());
    out.mark_answer_end();
    out.push(Bytes::from_static(b" small"));
    out.mark_answer_end();
    assert!(std::ptr::eq(out.chunks[1].as_ptr(), large.as_ptr()));
    let (mut got, mut left) = (Vec::new(), Vec::new());
    while !out.is_empty() {
        let n = out.chunk().len().min(3);
        got.extend_from_slice(&out.chunk()[..n]);
        out.advance(n);
        left.push(out.undelivered());
    }
    assert_eq!(got, [b"head ", &large[..], b" small"].concat());
    assert_eq!((left[0], left[1_668], left.last()), (2, 1, Some(&0)));
    assert_eq!((out.len(), out.sent_bytes()), (0, 5_011));
}
