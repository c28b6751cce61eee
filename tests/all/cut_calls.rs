//! Answers of the platform and of peers that stop at any byte, by close and by reset.

use std::time::Duration;

use hyper::Method;
use lycheehaven_net::HttpClient;
use lycheehaven_peers::Exchange;
use lycheehaven_platform::CloudApi;
use lycheehaven_platform::Condition;
use lycheehaven_platform::CreateOutcome;
use lycheehaven_platform::ObjectApi;
use lycheehaven_platform::PutOutcome;
use lycheehaven_platform::Version;
use lycheehaven_platform::VmSpec;
use lycheehaven_standins::Cut;
use lycheehaven_standins::CutFraming;
use lycheehaven_standins::CutResponse;
use serde_json::json;

use crate::support::run;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Header lines of a version of an object.
const VERSION: &str = "ETag: \"7\"\r\n";

#[test]
fn object_whose_answer_stops_at_any_byte_is_neither_read_nor_written() {
    let body = r#"{"version":3,"services":[]}"#;
    for framing in CutFraming::ALL {
        let response = CutResponse::new(framing, VERSION, &[body]);
        let server = response.serve();
        let api = ObjectApi::new(server.addr(), TIMEOUT);
        run(async {
            let check = async |cut: Cut| {
                if response.looks_whole(cut) {
                    return;
                }
                let key = cut.number().to_string();
                let context = format!("{framing:?} {cut:?}");
                let read = api.get(&key).await;
                assert!(read.is_err(), "{context}: {read:?}");
                let watched = api.watch(&key, Version(1), TIMEOUT).await;
                assert!(watched.is_err(), "{context}: {watched:?}");
                let written = api.put(&key, Condition::Absent, body).await;
                assert_eq!(written, PutOutcome::Uncertain, "{context}");
                let deleted = api.delete(&key).await;
                assert!(deleted.is_err(), "{context}");
            };
            response.check_all(check).await;
            let object = api.get("whole").await.unwrap().unwrap();
            assert_eq!(&object.body[..], body.as_bytes(), "{framing:?}");
            let written = api.put("whole", Condition::Absent, body).await;
            assert_eq!(written, PutOutcome::Written(Version(7)));
        });
    }
}

#[test]
fn list_whose_answer_stops_at_any_byte_is_not_taken_as_shorter() {
    let objects = json!([{"key": "a", "version": 1}, {"key": "b", "version": 2}]).to_string();
    for framing in CutFraming::ALL {
        let response = CutResponse::new(framing, "", &[&objects]);
        let server = response.serve();
        let api = ObjectApi::new(server.addr(), TIMEOUT);
        run(async {
            let check = async |cut: Cut| {
                let listed = api.list(&cut.number().to_string()).await;
                assert!(listed.is_err(), "{framing:?} {cut:?}: {listed:?}");
            };
            response.check_all(check).await;
            assert_eq!(api.list("whole").await.unwrap().len(), 2, "{framing:?}");
        });
    }
}

fn vm_list() -> String {
    let vm = |name: &str| {
        json!({
            "name": name, "incarnation": 1, "domain": "arima", "class": "c", "service": "s",
            "addr": "127.0.0.1:4", "state": "live",
        })
    };
    json!({"revision": 3, "vms": [vm("a"), vm("b")], "next": 2, "notices": []}).to_string()
}

fn spec(name: &str) -> VmSpec {
    VmSpec {
        name: name.into(),
        domain: "arima".into(),
        class: "c".into(),
        service: "s".into(),
        reclaimable: false,
    }
}

#[test]
fn answer_of_the_cloud_that_stops_at_any_byte_is_no_list_and_no_done_order() {
    let body = vm_list();
    for framing in CutFraming::ALL {
        let response = CutResponse::new(framing, "", &[&body]);
        let server = response.serve();
        let cloud = CloudApi::new(server.addr(), TIMEOUT);
        run(async {
            let check = async |cut: Cut| {
                let name = cut.number().to_string();
                let context = format!("{framing:?} {cut:?}");
                let vms = cloud.vms(&name, 0).await;
                assert!(vms.is_err(), "{context}: {vms:?}");
                let notices = cloud.notices(&name, 0, TIMEOUT).await;
                assert!(notices.is_err(), "{context}: {notices:?}");
                // Only the status of an order is read.
                if response.looks_whole(cut) {
                    return;
                }
                let created = cloud.create(&spec(&name)).await;
                assert_eq!(created, CreateOutcome::Uncertain, "{context}");
                let deleted = cloud.delete(&name).await;
                assert!(deleted.is_err(), "{context}");
            };
            response.check_all(check).await;
            let vms = cloud.vms("whole", 0).await.unwrap().unwrap();
            assert_eq!(vms.vms.len(), 2, "{framing:?}");
            let created = cloud.create(&spec("whole")).await;
            assert_eq!(created, CreateOutcome::Created);
        });
    }
}

/// Returns a message between peers.
fn exchange() -> Exchange {
    let member = json!({
        "name": "entry-b", "incarnation": 2, "domain": "arima", "addr": "127.0.0.1:4",
        "heartbeat": 5, "leaving": false,
    });
    let message = json!({
        "version": 3, "from": member, "config": 4, "members": [member, member], "beats": [],
        "leaving": [["vm-1", 1]], "usage": [], "loads": [], "rates": [],
        "news": {"crashes": [], "trials": [], "decisions": []},
    });
    serde_json::from_value(message).unwrap()
}

#[test]
fn answer_of_a_peer_that_stops_at_any_byte_is_no_message() {
    let message = exchange();
    let body = rmp_serde::to_vec(&message).unwrap();
    for framing in CutFraming::ALL {
        let response = CutResponse::new(framing, "", &[&body]);
        let server = response.serve();
        run(async {
            let client = HttpClient::new();
            let check = async |cut: Cut| {
                let path = format!("/peer/exchange/{}", cut.number());
                let reply = client.post_msgpack(server.addr(), &path, &(), TIMEOUT);
                let reply: Result<Exchange, _> = reply.await;
                assert!(reply.is_err(), "{framing:?} {cut:?}: {reply:?}");
            };
            response.check_all(check).await;
            let path = "/peer/exchange";
            let whole = client.call(Method::POST, server.addr(), path, "", TIMEOUT);
            let whole: Exchange = whole.await.unwrap().msgpack().unwrap();
            assert_eq!(whole, message, "{framing:?}");
        });
    }
}
