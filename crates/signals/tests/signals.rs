//! Signals that a process sends to itself.

use lycheehaven_signals::Signal;
use lycheehaven_signals::Signals;

fn raise(signal: rustix::process::Signal) {
    let pid = rustix::process::getpid();
    rustix::process::kill_process(pid, signal).expect("the signal can be sent");
}

#[test]
fn single_and_repeated_signals_are_received_without_ending_the_process() {
    let runtime = compio::runtime::Runtime::new().expect("event loop");
    runtime.block_on(async {
        let mut hangup = Signals::listen(Signal::Hangup).expect("handler");
        let mut terminate = Signals::listen(Signal::Terminate).expect("handler");
        raise(rustix::process::Signal::HUP);
        hangup.receive().await.expect("received");
        // No task waits for the signals while they are sent.
        for _ in 0..10_000 {
            raise(rustix::process::Signal::HUP);
        }
        raise(rustix::process::Signal::TERM);
        terminate.receive().await.expect("received");
        hangup.receive().await.expect("received");
    });
}
