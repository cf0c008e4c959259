use super::*;

/// A replica that loses and regains the lead between two checks leads in another term, which must be logged too.
#[test]
fn each_change_of_the_leading_term_is_logged_once() {
    let mut logged = LoggedLeadership::default();
    let terms = [None, Some(3), Some(3), Some(7), None, None, Some(8)];
    let lines: Vec<String> = terms.into_iter().filter_map(|term| logged.update(term)).collect();
    assert_eq!(lines, ["leads in term 3", "leads in term 7", "no longer leads", "leads in term 8"]);
}
