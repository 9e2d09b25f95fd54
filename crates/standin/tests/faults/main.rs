//! Each promise under failure, on real processes over loopback.
//!
//! Tests wait for conditions with generous bounds, and every answer is compared with the one that
//! the engine would have given undisturbed.

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
