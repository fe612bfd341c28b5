//! Library of the operators' command `radishctl`: configuration, labels, API
//! keys, status and the audit trail.

pub mod cmd;
pub mod commit;
pub mod host;
pub mod settings;
