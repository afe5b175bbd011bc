//! The bundle: what operators sign off and roll.

mod spec;

pub use spec::{
    Backend, Bundle, Class, Link, Operation, Region, Service, Shift, Slo, Target, Zone,
};
