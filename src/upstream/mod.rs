//! Servers that execute runs in place of the agent.

pub mod uwsgi;
