//! Admission: who goes next when there is less than is asked for.
//!
//! All of it is pure: decisions follow from what is passed in. `floors` says who goes next on one
//! controller, `plan` divides a limit among controllers that hear of changes late, `gate` says
//! whether a submission is taken now, and `slots` bounds how many names are told apart.

pub mod floors;
pub mod gate;
pub mod plan;
pub mod slots;
