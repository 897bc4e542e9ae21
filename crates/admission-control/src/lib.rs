//! Admission control: who is served next when there is less than is asked for.
//!
//! All of it is pure: decisions follow from what is passed in. [`floors`] chooses the next flow on one
//! controller, [`plan`] divides a limit among controllers that learn of changes late, [`gate`] decides
//! whether a submission is accepted now, and [`slots`] bounds how many names are told apart.

/// Chooses which waiting flow is served next.
pub mod floors;
/// Decides whether a submission is accepted now.
pub mod gate;
/// Divides a limit among several controllers.
pub mod plan;
/// Numbers classes and teams within a fixed bound.
pub mod slots;
