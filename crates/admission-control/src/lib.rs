//! Admission control: which request is served next when demand exceeds a limit.
//!
//! All decisions are pure functions of their arguments. [`floors`] chooses the next flow on one
//! controller, [`plan`] divides a limit among controllers that learn of changes late, [`gate`] decides
//! whether a submission is accepted now, and [`slots`] bounds how many names have their own state.

pub mod floors;
pub mod gate;
pub mod plan;
pub mod slots;
