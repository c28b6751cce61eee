//! In-flight requests as state machines without I/O.
//!
//! A [`Stream`] holds the tokens of one answer and decides which events of
//! which attempt apply. [`plan_evacuation`] decides what happens to the streams
//! of an upstream that is about to be reclaimed. [`LengthEstimator`] estimates the
//! length of answers from earlier ones. [`Silence`] decides when a run that sends
//! nothing may be left.

mod evacuation;
mod length_estimator;
mod silence;
mod stream;
mod tokens;

pub use evacuation::EvacuationAction;
pub use evacuation::EvacuationCandidate;
pub use evacuation::EvacuationInput;
pub use evacuation::plan_evacuation;
pub use length_estimator::LengthEstimator;
pub use silence::Silence;
pub use silence::Verdict;
pub use silence::silence_limit;
pub use stream::Event;
pub use stream::EventOutcome;
pub use stream::InterruptCause;
pub use stream::Phase;
pub use stream::Stream;
pub use tokens::Tokens;
