//! Decisions for relayed exchanges, by behaviour and by properties.

mod capacity;
mod choice;
mod configuration;
mod demand;
mod directory;
mod duty_lease;
mod event_stream;
mod freshness;
mod groups;
mod health;
mod held;
mod load;
mod members;
mod owner;
mod quota;
mod quota_cluster;
mod read_ahead;
mod refusal;
mod rollout;
mod rollout_trials;
mod support;
mod throughput;
mod topology;
mod usage;
