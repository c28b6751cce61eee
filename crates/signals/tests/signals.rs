//! Signals that a process sends to itself.

use lycheehaven_signals::Signal;
use lycheehaven_signals::Signals;

fn raise(signal: rustix::process::Signal) {
    let me = rustix::process::getpid();
    rustix::process::kill_process(me, signal).expect("the signal can be sent");
}

#[test]
fn signals_are_received_one_by_one_or_together_and_never_end_the_process() {
    let runtime = compio::runtime::Runtime::new().expect("event loop");
    runtime.block_on(async {
        let mut hangup = Signals::listen(Signal::Hangup).expect("handler");
        let mut terminate = Signals::listen(Signal::Terminate).expect("handler");
        raise(rustix::process::Signal::HUP);
        hangup.receive().await.expect("received");
        // No one waits at this moment.
        for _ in 0..10_000 {
            raise(rustix::process::Signal::HUP);
        }
        raise(rustix::process::Signal::TERM);
        terminate.receive().await.expect("received");
        hangup.receive().await.expect("received");
    });
}
