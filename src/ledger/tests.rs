use super::*;

#[test]
fn only_a_timeout_response_leaves_the_end_of_the_work_unknown() {
    let cases = [
        ("200 OK", ReleaseEvidence::Answered),
        ("500 Sick", ReleaseEvidence::Answered),
        ("503 Full", ReleaseEvidence::Answered),
        ("504 Late", ReleaseEvidence::Unknown),
    ];
    for (status, proves) in cases {
        let mut bytes = BytesMut::from(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        let answer = LedgerCodec::default()
            .decode(&mut bytes)
            .expect("the response is valid HTTP")
            .expect("the response is complete");
        assert_eq!(release_evidence(&answer), proves, "{status}");
    }
}
