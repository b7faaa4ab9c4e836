//! A library that is preloaded (`LD_PRELOAD`) into a process under test and, at random, makes some of its system calls
//! fail, transfer fewer bytes, take longer, or return a shifted wall-clock time. It is a tool of the fleet testbed and
//! is not used in production.
//!
//! It is configured by environment variables, read at the first call:
//! - `FLEETLAB_SHIM_RULES`: rules separated by `;`, each `operation=outcome@probability:from-to`, such as
//!   `recv=EINTR@0.02:0-5000;clock=+3600@1:2000-60000`; times are in milliseconds, see [`rules`].
//! - `FLEETLAB_SHIM_EPOCH_NS`: the time on `CLOCK_MONOTONIC` from which those times count; by default the first call.
//! - `FLEETLAB_SHIM_SEED`: the seed of the random draws.
//! - `FLEETLAB_SHIM_COUNTS`: a file of [`rules::MAX_RULES`] little-endian `u64` counters of the calls that each rule
//!   has changed.
//!
//! This is the only crate of the project with `unsafe` code: it replaces functions of the C library.

mod counts;
mod interpose;
pub mod rules;
