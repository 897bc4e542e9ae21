use super::*;
use crate::fleet::Offer;
use serde_json::{Value, json};

fn rental() -> CloudCall {
    CloudCall::Rent {
        request_id: "n0-7-1".into(),
        offer: Offer {
            machine_type: "g8".into(),
            zone: "a".into(),
            spot: true,
        },
        count: 3,
    }
}

#[test]
fn calls_are_encoded_as_cloud_requests() {
    let rental_body = json!(
        {"hire": "n0-7-1", "rig": "g8", "yard": "a", "loaners": true, "count": 3}
    );
    let cases = [
        (CloudCall::MachineTypes, "GET", "/flavors", None),
        (
            CloudCall::List { after: None },
            "GET",
            "/rentals?most=500",
            None,
        ),
        (
            CloudCall::List {
                after: Some("vm-1".into()),
            },
            "GET",
            "/rentals?from=vm-1&most=500",
            None,
        ),
        (rental(), "POST", "/rentals", Some(rental_body)),
        (
            CloudCall::Delete(vec!["vm-1".into()]),
            "POST",
            "/rentals/delete",
            Some(json!({"hosts": ["vm-1"]})),
        ),
    ];
    for (call, method, path, body) in cases {
        let request = build_request(&call);
        assert_eq!((request.method.as_str(), &*request.path), (method, path));
        let sent = serde_json::from_slice::<Value>(&request.body).ok();
        assert_eq!(sent, body, "{path}");
    }
}

#[test]
fn a_rental_without_capacity_is_not_an_error() {
    let refused = |status, body: &'static str| {
        let response = parse_response(&rental(), status, &Bytes::from_static(body.as_bytes()));
        match response {
            Ok(CloudResponse::NoCapacity) => "no capacity".to_string(),
            Ok(response) => panic!("{response:?}"),
            Err(error) => error.to_string(),
        }
    };
    assert_eq!(refused(503, "no capacity"), "no capacity");
    assert_eq!(refused(503, "trouble"), "refused with status 503");
    assert_eq!(refused(429, "no capacity"), "refused with status 429");
    assert!(parse_response(&rental(), 200, &Bytes::from_static(b"[")).is_err());
}
