use super::*;

#[test]
fn watch_events_are_decoded() {
    let text = r#"{"ledger":433,"news":[{"put":"c/9","data":{"a":[1]},"stamp":433},
        {"drop":"c/d","stamp":432},{"stamp":1}]}"#;
    let response: WatchResponse = serde_json::from_str(text).unwrap();
    let shown: Vec<String> = response
        .changes
        .into_iter()
        .filter_map(WatchItem::into_update)
        .map(|update| match update {
            Update::Put(e) => format!("{}={}@{}", e.key, e.data.get(), e.version.0),
            Update::Deleted { key, version } => format!("-{key}@{}", version.0),
        })
        .collect();
    assert_eq!(shown, ["c/9={\"a\":[1]}@433", "-c/d@432"]);
}

#[test]
fn transactions_are_encoded_as_the_protocol_requires() {
    let mut txn = Transaction::default();
    txn.require("a/b".into(), Revision(0));
    txn.put_json("a/b".into(), "{\"x\":1}".into(), Some(LeaseId(7)));
    txn.delete("c/d".into());
    let text = String::from_utf8(encode_transaction(&txn).unwrap()).unwrap();
    assert_eq!(
        text,
        r#"{"if":[{"key":"a/b","stamp":0}],"then":[{"put":"a/b","data":{"x":1},"permit":7},{"drop":"c/d"}]}"#
    );
}
