//! Admission control: who is served next when there is less than is asked for.
//!
//! All of it is pure: decisions follow from what is passed in. [`floors`] chooses the next flow on one
//! controller, [`plan`] divides a limit among controllers that learn of changes late, [`gate`] decides
//! whether a submission is accepted now, and [`slots`] bounds how many names are told apart.

pub mod floors;
pub mod gate;
pub mod plan;
pub mod slots;
