//! Responses of engines and plain services that end early or without framing.

use std::io::Write;
use std::time::Duration;

use hyper::Method;
use lycheehaven_standins::RawServer;
use lycheehaven_standins::reset_on_close;

use crate::raw_engine::ANSWER;
use crate::raw_engine::cluster_with;
use crate::raw_engine::respond_as_engine;
use crate::support::client;
use crate::support::run;

#[test]
fn stream_cut_at_the_close_of_its_connection_continues_without_loss() {
    for cut in [0, 9] {
        let server = RawServer::start(move |request, stream| {
            respond_as_engine(request, stream, "", Some(cut));
        });
        run(async {
            let cluster = cluster_with("poleer-llm", &server).await;
            let mut stream = client()
                .stream(cluster.entries[0].listen, "table len=5")
                .await
                .unwrap();
            while stream.next().await {}
            assert_eq!(stream.received.text, ANSWER, "cut {cut}");
            assert_eq!(stream.received.finish.as_deref(), Some("stop"));
        });
    }
}

#[test]
fn plain_response_without_framing_is_whole_unless_reset() {
    for reset in [false, true] {
        let server = RawServer::start(move |_, stream| {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nprice: 12");
            if reset {
                // The entry reads what was sent before the connection is reset.
                std::thread::sleep(Duration::from_millis(100));
                reset_on_close(stream);
            }
        });
        run(async {
            let cluster = cluster_with("hinnalaud", &server).await;
            let key = uuid::Uuid::now_v7().to_string();
            let reply = client()
                .call(
                    cluster.entries[0].listen,
                    Method::POST,
                    "hinnalaud/charge",
                    Some(&key),
                    "",
                )
                .await
                .unwrap();
            if reset {
                assert_eq!(reply.status, 502, "{reply:?}");
            } else {
                assert_eq!(&reply.body[..], b"price: 12", "{reply:?}");
            }
        });
    }
}
