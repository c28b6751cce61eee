//! Callers that stop reading or disconnect.

use std::time::Duration;

use lycheehaven_standins::Cluster;
use lycheehaven_standins::EngineParams;
use lycheehaven_standins::full_answer;

use crate::support::client;
use crate::support::cluster;
use crate::support::run;

const ENTRIES: &[(&str, &str)] = &[("entry-a", "arima"), ("entry-b", "arima")];
const ENGINES: &[(&str, &str)] = &[("engine-1", "arima")];

const STREAMS: &str = "[streams]\nunread_tokens = 64\npause_ms = 500";

/// Tokens that the engine may generate before the entry can pause it: the
/// engine's output buffer and one step.
const ENGINE_TOKENS: u64 = 64 + 2;

/// Bytes that the kernel may buffer between entry and caller: 64 KiB on the
/// entry's side, 128 KiB on the caller's.
const KERNEL_BYTES: usize = (64 + 128) * 1024;

/// Tokens that fit into the kernel's buffers if each token has its own event.
const KERNEL_TOKENS: u64 = KERNEL_BYTES as u64 / 100;

async fn start(step: Duration) -> Cluster {
    let params = EngineParams {
        step,
        ..EngineParams::default()
    };
    cluster(STREAMS, ENTRIES, ENGINES, params).await
}

/// Waits until generation pauses for 1 s and returns the number of tokens
/// generated so far.
async fn generated_when_idle(cluster: &Cluster) -> u64 {
    let mut last = u64::MAX;
    loop {
        let generated = cluster.engines[0].1.state().generated;
        if generated == last {
            return generated;
        }
        last = generated;
        compio::time::sleep(Duration::from_millis(1000)).await;
    }
}

#[test]
fn generation_stops_when_caller_disconnects() {
    run(async {
        let cluster = start(Duration::from_millis(1)).await;
        let mut stream = client()
            .stream(cluster.entries[0].listen, "report len=50000")
            .await
            .unwrap();
        stream.receive(20).await;
        drop(stream);
        let generated = generated_when_idle(&cluster).await;
        assert!(
            generated < 64 + ENGINE_TOKENS + KERNEL_TOKENS,
            "{generated} tokens"
        );
        assert_eq!(
            cluster.engines[0].1.state().streams(),
            0,
            "the engine has no stream left"
        );
    });
}

/// Checks that generation pauses while the caller does not read, and that the
/// caller receives the rest once it reads on. The number of tokens per event
/// depends on the generation rate, so the data in the kernel's buffers is
/// measured in bytes.
async fn check_unread(step: Duration, length: usize) {
    let cluster = start(step).await;
    let prompt = format!("report len={length}");
    let mut stream = client()
        .stream(cluster.entries[0].listen, &prompt)
        .await
        .unwrap();
    stream.receive(20).await;
    let generated = generated_when_idle(&cluster).await;
    let in_kernel = generated.saturating_sub(64 + ENGINE_TOKENS) as usize;
    let before = stream.bytes;
    stream.receive(in_kernel).await;
    let bytes = stream.bytes - before;
    assert!(bytes < KERNEL_BYTES, "{bytes} bytes, {generated} tokens");
    while stream.next().await {}
    assert_eq!(stream.received.text, full_answer(&prompt, length));
}

#[test]
fn generation_pauses_for_caller_that_stops_reading() {
    run(check_unread(Duration::from_millis(1), 9000));
}

#[test]
fn fast_generation_pauses_for_caller_that_stops_reading() {
    run(check_unread(Duration::from_micros(100), 30_000));
}

/// A caller that lost its connection can resume at any offset through any entry.
#[test]
fn answer_can_be_resumed_at_any_offset() {
    run(async {
        let cluster = start(Duration::from_millis(1)).await;
        let prompt = "report len=120";
        let mut stream = client()
            .stream(cluster.entries[0].listen, prompt)
            .await
            .unwrap();
        while stream.next().await {}
        let expected = full_answer(prompt, 120);
        assert_eq!(stream.received.text, expected);
        for (n, offset) in [0_usize, 1, 7, 119, 120].into_iter().enumerate() {
            let mut from = stream.received.clone();
            from.tokens = offset;
            from.text = full_answer(prompt, offset);
            from.finish = None;
            let addr = cluster.entries[n % 2].listen;
            let mut rest = client().resume(addr, &from).await.unwrap();
            while rest.next().await {}
            assert_eq!(rest.received.text, expected, "resumed at {offset}");
        }
    });
}
