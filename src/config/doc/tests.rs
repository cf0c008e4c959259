use super::*;

#[test]
fn key_paths_resolve_to_their_lines_and_errors_to_the_nearest_table() {
    let text = "a = 1\n[t]\nb = 2\n[[l]]\nc = 3\n[[l]]\nc = 4\n";
    let doc = Doc::of(Path::new("x.toml"), text);
    let cases: [(&[&str], Option<usize>); 5] = [
        (&["a"], Some(1)),
        (&["t", "b"], Some(3)),
        (&["l", "1", "c"], Some(7)),
        (&["l", "2", "c"], None),
        (&["t", "b", "x"], None),
    ];
    for (key_path, line) in cases {
        assert_eq!(doc.line(key_path), line, "{key_path:?}");
    }
    assert_eq!(doc.bad(&["t", "x"], "missing").to_string(), "x.toml:2: t.x: missing");
}
