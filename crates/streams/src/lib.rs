//! In-flight requests as state machines without I/O.
//!
//! A [`Stream`] holds the tokens of one answer and decides which event of which
//! attempt counts. [`plan_evacuation`] decides what happens to the streams of
//! an upstream that is about to be reclaimed. [`Suspicion`] decides which
//! requests are blamed for lost upstreams. [`Expectation`] learns how long
//! answers are in truth.

mod evacuation;
mod expectation;
mod stream;
mod suspicion;
mod tokens;

pub use evacuation::Candidate;
pub use evacuation::EvacuationInput;
pub use evacuation::Move;
pub use evacuation::plan_evacuation;
pub use expectation::Expectation;
pub use stream::Broken;
pub use stream::Event;
pub use stream::Phase;
pub use stream::Stream;
pub use stream::Verdict;
pub use suspicion::Loss;
pub use suspicion::Suspicion;
pub use tokens::Tokens;
