use super::*;

#[test]
fn commands_are_encoded_as_the_protocol_requires() {
    let task = TaskId::parse("job-000412/4").unwrap();
    let attempt = Attempt(2);
    let cases = [
        (
            WorkerCommand::Start {
                task: task.clone(),
                attempt,
            },
            r#"{"verb":"start","pick":"job-000412/4","try":2}"#,
        ),
        (
            WorkerCommand::Stop {
                task: task.clone(),
                attempt,
                grace_s: 10.0,
            },
            r#"{"verb":"kill","pick":"job-000412/4","try":2,"windDownS":10.0}"#,
        ),
        (
            WorkerCommand::Forget { task, attempt },
            r#"{"verb":"reap","pick":"job-000412/4","try":2}"#,
        ),
    ];
    for (command, text) in cases {
        assert_eq!(serde_json::to_string(&command).unwrap(), text);
        let body: WorkerCommandBody = serde_json::from_str(text).unwrap();
        assert_eq!(body.command(), Some(command));
    }
}

#[test]
fn malformed_worker_messages_are_rejected() {
    let valid = r#"{"host":"vm-1","address":"a","rig":"g8","yard":"a","loaners":true,"shift":1,
        "tally":88,"baton":41,"warningS":null,"picks":[{"pick":"job-1/3","try":2,
        "stage":"ended","cause":"in_use"}]}"#;
    assert!(serde_json::from_str::<Heartbeat>(valid).is_ok());
    for (from, to) in [
        ("\"shift\":1", "\"shift\":-1"),
        ("ended", "odd"),
        ("vm-1\"", "vm-1"),
    ] {
        let text = valid.replace(from, to);
        assert!(serde_json::from_str::<Heartbeat>(&text).is_err(), "{text}");
    }
}
