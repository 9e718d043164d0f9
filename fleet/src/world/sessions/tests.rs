use super::*;

#[test]
fn status_answer_is_parsed_in_full_with_states_as_bits_or_names() {
    let body = json!({
        "rows": [{"id": "a", "states": 33, "attempts": 2}, {"id": "b", "states": ["taken", "calling"]}],
        "partial": true, "missing": [{"owner": 3}], "read": {"outcome": "less"},
        "logs": [{"log": {"owner": 1, "life": 7}, "reached": {"upto": 4, "as_of": 1500}, "known_since": 1100}]
    });
    let answer = read(&body, 1000);
    let row = |id: &str, states, attempts| Row { id: id.into(), states, attempts };
    assert_eq!(answer.rows, [row("a", 33, 2), row("b", 3, 0)]);
    assert_eq!(answer.logs, [Log { owner: 1, as_of: 500, known_since: 100 }]);
    assert_eq!((answer.partial, answer.less, answer.missing), (true, true, vec![3]));
    assert_eq!(read(&Value::Null, 0), StatusAnswer::default());
}
