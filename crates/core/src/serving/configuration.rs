//! What a configuration says, and which route and client account a request belongs to.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::Millis;

/// A configuration as the operator wrote it, with look-up tables for its routes and keys.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The operator's version; it only rises.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Bounds on what a caller may send.
    pub limits: CallerLimits,
    /// Client accounts, or `None` where requests need no key.
    pub accounts: Option<Vec<Account>>,
    routes_of_host: HashMap<String, Vec<usize>>,
    account_of_key: HashMap<String, usize>,
}

/// A rule that sends requests of a host and path to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// How the path begins.
    pub path_prefix: String,
    /// What may be done with a request whose outcome is not known.
    pub kind: RouteKind,
    /// The longest time from arrival to the final answer.
    pub timeout: Millis,
    /// The objective for the time to the first token, in milliseconds; for the whole answer where it is no stream.
    pub ttft_objective: Millis,
    /// The longest pause between the pieces of a stream that is in time.
    pub gap_objective: Option<Millis>,
    /// The priority of the route's requests; 0 is the most urgent.
    pub priority: u32,
    /// Services and their weights.
    pub backends: Vec<WeightedService>,
    /// The most servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
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

/// What may be done with a request whose outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run again.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// Its answer is a stream of numbered events.
    Streaming {
        /// Whether another server may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns `true` if a request that may have run may be sent again before any of its answer left.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Returns `true` if the answer is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// A pool of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one server accepts from all nodes together.
    pub max_connections: u32,
    /// What its servers are, where they run a model.
    pub engine: Option<Engine>,
    /// How many servers may be ordered and what they cost, where the service can be scaled.
    pub scaling: Option<Scaling>,
}

/// What a model server can do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Bytes of memory a token.
    pub bytes_per_token: u64,
    /// Bandwidth of its link in megabits a second.
    pub link_mbps: f64,
    /// Whether running requests can be moved with their memory.
    pub can_move: bool,
}

/// How many servers of a service may be ordered in a data centre, and what they cost.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scaling {
    /// The fewest servers in a data centre.
    pub min: u32,
    /// The most servers in a data centre, of both kinds together.
    pub max: u32,
    /// Time from an order to the first work of a new server.
    pub boot: Millis,
    /// The price of a server that may be taken away, as a part of that of the others.
    pub spot_price: Option<f64>,
    /// The price of a server in each data centre.
    pub data_centre_prices: BTreeMap<String, f64>,
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head to arrive.
    pub head_timeout: Millis,
    /// Time that a connection may rest between requests.
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

/// A client account of the operator, with its keys and limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// The client account's name.
    pub name: String,
    /// The keys that its callers present.
    pub keys: Vec<String>,
    /// The priority of the client account's requests; 0 is the most urgent.
    pub priority: u32,
    /// What its limit counts.
    pub unit: QuotaUnit,
    /// Units a second over all nodes; 0 sets no limit.
    pub rate_per_second: f64,
    /// Units that may be used at once besides.
    pub burst: f64,
}

/// What a client account's limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts one.
    #[default]
    Requests,
    /// Each request counts its tokens.
    Tokens {
        /// The tokens of a request that does not say how many it has.
        default: u64,
    },
}

impl Configuration {
    /// Builds the look-up tables of routes and keys.
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

    /// Finds the route of a host whose prefix begins the path and is longest.
    ///
    /// The host may carry a port, which is passed over.
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

    /// Finds the client account that holds a key.
    pub fn find_account(&self, key: &str) -> Option<&Account> {
        let index = self.account_of_key.get(key)?;
        self.accounts.as_ref()?.get(*index)
    }

    /// Finds the client account of a name.
    pub fn get_account(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().flatten().find(|account| account.name == name)
    }
}

impl Route {
    /// Picks one of the route's services by weight. `random` is drawn evenly from 0 to 1.
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
