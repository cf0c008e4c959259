//! Where work goes that the agent does not do.

pub mod uwsgi;
