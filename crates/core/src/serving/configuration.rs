//! The configuration, and the route and client account of a request.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::Millis;

/// The operator's configuration, with lookup tables for its routes and keys.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The operator's version, which only rises.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits of requests.
    pub limits: CallerLimits,
    /// Client accounts, or `None` if requests need no key.
    pub accounts: Option<Vec<Account>>,
    routes_of_host: HashMap<String, Vec<usize>>,
    account_of_key: HashMap<String, usize>,
}

/// A rule that sends requests of a host and path to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host of the requests.
    pub host: String,
    /// The prefix of the requests' paths.
    pub path_prefix: String,
    /// Whether a request may run again if its outcome is unknown.
    pub kind: RouteKind,
    /// The longest time from the arrival of a request to its final response, in milliseconds.
    pub timeout: Millis,
    /// The objective for the time to the first token, in milliseconds, or to the end of a response
    /// that is not streamed.
    pub ttft_objective: Millis,
    /// The objective for the longest gap between the events of a stream, in milliseconds.
    pub gap_objective: Option<Millis>,
    /// The priority of the route's requests; 0 is the most urgent.
    pub priority: u32,
    /// Services and their weights.
    pub backends: Vec<WeightedService>,
    /// The maximum number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests without a key are allowed.
    pub allow_anonymous: bool,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's name.
    pub service: String,
    /// Its weight among the route's services.
    pub weight: u32,
}

/// Whether a request may run again if its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run again.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
    /// The response is a stream of numbered events.
    Streaming {
        /// Whether another server may resume the stream after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns `true` if a request that may have run may be sent again, as long as nothing of its
    /// response has been sent to the caller.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Returns `true` if the response is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }

    /// Returns `true` if another server may continue an interrupted response.
    pub fn is_resumable(self) -> bool {
        self == Self::Streaming { resumable: true }
    }
}

/// A pool of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one server accepts from all nodes together.
    pub max_connections: u32,
    /// The properties of its servers, if they run a model.
    pub engine: Option<Engine>,
    /// How many servers may be ordered and what they cost, if the service can be scaled.
    pub scaling: Option<Scaling>,
}

/// The properties of a model server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens that fit in its memory.
    pub memory_tokens: u64,
    /// Bytes of memory per token.
    pub bytes_per_token: u64,
    /// The bandwidth of its link, in megabits per second.
    pub link_mbps: f64,
    /// Whether running requests can be moved together with their memory.
    pub can_move: bool,
}

/// How many servers of a service may be ordered in a data centre, and what they cost.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// The minimum number of servers in a data centre.
    pub min: u32,
    /// The maximum number of servers in a data centre, spot and on-demand together.
    pub max: u32,
    /// Time from an order until the new server takes its first request, in milliseconds.
    pub boot: Millis,
    /// The price of a spot server, as a fraction of the price of an on-demand server.
    pub spot_price: Option<f64>,
    /// The price of a server in each data centre.
    pub data_centre_prices: BTreeMap<String, f64>,
}

/// Limits of what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum bytes of a request's head.
    pub head_bytes: usize,
    /// Maximum bytes of a request's body.
    pub body_bytes: usize,
    /// Time within which a request's head must arrive, in milliseconds.
    pub head_timeout: Millis,
    /// Time for which a connection may be idle between requests, in milliseconds.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 4_194_304,
            head_timeout: 3_000,
            idle_timeout: 15_000,
        }
    }
}

/// A client account, with its keys and its quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// The client account's name.
    pub name: String,
    /// The keys that its callers present.
    pub keys: Vec<String>,
    /// The priority of the client account's requests; 0 is the most urgent.
    pub priority: u32,
    /// The unit of the quota.
    pub unit: QuotaUnit,
    /// Units per second over all nodes; 0 means no limit.
    pub rate_per_second: f64,
    /// Units that may be used at once in addition.
    pub burst: f64,
}

/// The unit that a client account's quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts one.
    #[default]
    Requests,
    /// Each request counts its tokens.
    Tokens {
        /// The tokens of a request that does not state their number.
        default: u64,
    },
}

impl Configuration {
    /// Creates a configuration and builds the lookup tables of its routes and keys.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<String, Service>,
        limits: CallerLimits,
        accounts: Option<Vec<Account>>,
    ) -> Self {
        let routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        let mut routes_of_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            routes_of_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indexes in routes_of_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(routes[*index].path_prefix.len()));
        }
        let mut account_of_key = HashMap::new();
        for (index, account) in accounts.iter().flatten().enumerate() {
            for key in &account.keys {
                account_of_key.insert(key.clone(), index);
            }
        }
        Self { version, routes, services, limits, accounts, routes_of_host, account_of_key }
    }

    /// Returns the route of a host with the longest prefix of the path.
    ///
    /// A port in `host` is ignored.
    ///
    /// # Examples
    ///
    /// ```
    /// use keeljunction_core::serving::configuration::Configuration;
    ///
    /// assert!(Configuration::default().find_route("a.example", "/x").is_none());
    /// ```
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let indexes = self.routes_of_host.get(&name)?;
        let routes = indexes.iter().map(|index| &self.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the client account that owns a key.
    pub fn find_account(&self, key: &str) -> Option<&Account> {
        let index = self.account_of_key.get(key)?;
        self.accounts.as_ref()?.get(*index)
    }

    /// Returns the client account with a name.
    pub fn get_account(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().flatten().find(|account| account.name == name)
    }
}

impl Route {
    /// Picks one of the route's services by weight. `random` is uniformly distributed from 0 to 1.
    pub fn pick_service(&self, random: f64) -> Option<&str> {
        let total: u32 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut point = random * f64::from(total);
        for backend in &self.backends {
            point -= f64::from(backend.weight);
            if point < 0.0 {
                return Some(&backend.service);
            }
        }
        self.backends.iter().rfind(|backend| backend.weight > 0).map(|b| b.service.as_str())
    }
}
