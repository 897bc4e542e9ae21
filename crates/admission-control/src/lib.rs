//! Admission control: which request is served next when demand exceeds a limit.
//!
//! All decisions are pure functions of their arguments. [`floors`] chooses the next flow on one
//! controller, [`plan`] divides a limit among controllers that learn of changes late, [`gate`] decides
//! whether a submission is accepted now, and [`slots`] bounds how many names have their own state.

/// Chooses which waiting flow is served next.
pub mod floors;
/// Decides whether a submission is accepted now.
pub mod gate;
/// Divides a limit among several controllers.
pub mod plan;
/// Numbers classes and teams within a fixed bound.
pub mod slots;
