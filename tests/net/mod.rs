//! The stand-ins of the lab; there is one copy of them.
#![allow(unused_imports)]

pub use holdlift_lab::*;
