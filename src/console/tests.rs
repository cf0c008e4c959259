use super::*;

#[test]
fn a_call_or_fault_is_the_same_at_once_and_byte_by_byte() {
    let long = format!("GET /control/ready HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(HEAD_MAX));
    let endless = format!("GET /control/ready HTTP/1.1\r\nX: {}", "a".repeat(HEAD_MAX));
    let many = format!("GET /control/ready HTTP/1.1\r\n{}\r\n", "X: 1\r\n".repeat(HEADERS_MAX + 1));
    let out = Call::Order(ServiceOrder::OutOfService);
    let table: [(&str, Option<Result<Call, Fault>>); 27] = [
        ("GET /control/ready HTTP/1.1\r\nHost: n\r\n\r\n", Some(Ok(Call::Ready))),
        ("GET /control/ready?now HTTP/1.1\r\n\r\n", Some(Ok(Call::Ready))),
        ("POST /control/out-of-service HTTP/1.1\r\n\r\n", Some(Ok(out.clone()))),
        (
            "POST /control/zones/leave/jkt-a HTTP/1.1\r\n\r\n",
            Some(Ok(Call::Zone(zone::ZoneOrder::Leave, "jkt-a".to_owned()))),
        ),
        ("GET /control/zones/hold/a HTTP/1.1\r\n\r\n", Some(Err(Fault::MethodNotAllowed { allow: "POST" }))),
        ("POST /control/zones/return/ HTTP/1.1\r\n\r\n", Some(Err(Fault::NotFound))),
        ("POST /control/zones/return/a/b HTTP/1.1\r\n\r\n", Some(Err(Fault::NotFound))),
        ("POST /control/zones/empty/a HTTP/1.1\r\n\r\n", Some(Err(Fault::NotFound))),
        ("POST /control/in-service HTTP/1.1\r\n\r\n", Some(Ok(Call::Order(ServiceOrder::InService)))),
        ("GET /control/catalog HTTP/1.1\r\n\r\n", Some(Ok(Call::Catalog))),
        ("POST /control/catalog HTTP/1.1\r\n\r\n", Some(Err(Fault::MethodNotAllowed { allow: "GET" }))),
        ("POST /control/out-of-service HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", Some(Ok(out))),
        ("POST /control/out-of-service HTTP/1.1\r\nContent-Length: 2\r\n\r\n{", None),
        ("POST /control/out-of-service HTTP/1.1\r\n", None),
        ("", None),
        ("GET /control/reddy HTTP/1.1\r\n\r\n", Some(Err(Fault::NotFound))),
        ("POST /control/ready HTTP/1.1\r\n\r\n", Some(Err(Fault::MethodNotAllowed { allow: "GET" }))),
        ("GET /control/in-service HTTP/1.1\r\n\r\n", Some(Err(Fault::MethodNotAllowed { allow: "POST" }))),
        ("\u{1}\u{2}\r\n\r\n", Some(Err(Fault::Malformed))),
        ("GET /control/ready HTTP/3\r\n\r\n", Some(Err(Fault::Malformed))),
        ("POST /control/in-service HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Some(Err(Fault::Malformed))),
        (
            "POST /control/in-service HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            Some(Err(Fault::Malformed)),
        ),
        (
            "POST /control/in-service HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
            Some(Err(Fault::BodyTooLarge)),
        ),
        (
            "POST /control/in-service HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            Some(Err(Fault::LengthRequired)),
        ),
        (&long, Some(Err(Fault::HeadTooLarge))),
        (&endless, Some(Err(Fault::HeadTooLarge))),
        (&many, Some(Err(Fault::HeadTooLarge))),
    ];
    for (text, want) in table {
        assert_eq!(Console::default().feed(text.as_bytes()), want, "at once: {text:?}");
        // Fed one byte at a time, the result is the same.
        let mut console = Console::default();
        let mut got = None;
        for b in text.bytes() {
            got = got.or_else(|| console.feed(&[b]));
        }
        assert_eq!(got, want, "byte by byte: {text:?}");
    }
}

#[test]
fn answers_have_the_status_of_their_fault_or_result() {
    let status_line = |a: Answer| {
        String::from_utf8(a.bytes()).expect("an answer is UTF-8").lines().next().map(str::to_owned)
    };
    let faults = [
        (Fault::Malformed, "400 Bad Request"),
        (Fault::NotFound, "404 Not Found"),
        (Fault::MethodNotAllowed { allow: "GET" }, "405 Method Not Allowed"),
        (Fault::TimedOut, "408 Request Timeout"),
        (Fault::LengthRequired, "411 Length Required"),
        (Fault::BodyTooLarge, "413 Content Too Large"),
        (Fault::HeadTooLarge, "431 Request Header Fields Too Large"),
    ];
    for (fault, want) in faults {
        assert_eq!(status_line(fault.into()), Some(format!("HTTP/1.1 {want}")));
    }
    assert_eq!(status_line(Answer::success("in service")).as_deref(), Some("HTTP/1.1 200 OK"));
    assert_eq!(status_line(Answer::failure(409, "leaving")).as_deref(), Some("HTTP/1.1 409 Conflict"));
    assert!(
        String::from_utf8(Answer::success("x").bytes())
            .expect("an answer is UTF-8")
            .contains("Content-Length: 2\r\n")
    );
}
