//! Fault injection tests with real processes on loopback.
//!
//! The tests wait for conditions with generous timeouts and compare every response with the output
//! that the engine generates without faults.

mod at_most_once;
mod control;
mod departure;
mod not_run;
mod planned_stop;
mod reclaim;
mod retries;
mod rolls;
mod support;
mod whole_answer;
