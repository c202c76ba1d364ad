//! Immutable table from which the server of an attempt is chosen.

use super::{
    RequestHash, RouteDistance, RouteReach, ServerKey, ServerState, ServerStats, ServerView,
};
use crate::{hash::mix, name::ServiceName, priority::CallPriority, time::MonoTime};
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

/// Load above which a farther server isn't sent requests that nearer ones shed, in thousandths.
const SPILLOVER_LOAD_MAX: u64 = 800;
/// A starting server gets one in `1 << STARTING_SHIFT` of the requests that hash to it.
const STARTING_SHIFT: u32 = 2;
const DISTANCES: [RouteDistance; 3] = [
    RouteDistance::Zone,
    RouteDistance::Region,
    RouteDistance::Far,
];

/// A server in the table.
#[derive(Clone, Debug)]
pub(super) struct RouteEntry {
    pub(super) key: ServerKey,
    pub(super) hash: u64,
    pub(super) view: Arc<ServerView>,
    pub(super) stats: Arc<ServerStats>,
}

/// Servers of one service, grouped by distance, nearest group first.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceRoutes {
    pub(super) groups: [Vec<RouteEntry>; DISTANCES.len()],
}

/// Servers by service and distance.
///
/// A table is never changed; a new snapshot replaces it.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    pub(super) services: HashMap<ServiceName, ServiceRoutes>,
}

/// Describes the attempt that a server is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// Hash of the request; the same in every resend.
    pub request: RequestHash,
    /// Priority of the request, compared with the admission levels of the servers' gates.
    pub priority: CallPriority,
    /// Servers that earlier attempts of the request were sent to.
    pub tried: &'a [ServerKey],
    /// How far the attempt may be sent.
    pub reach: RouteReach,
    /// Current time.
    pub now: MonoTime,
}

/// Server chosen for an attempt.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    /// Key by which further attempts exclude it.
    pub key: ServerKey,
    /// The server, with the address to send the request to.
    pub view: Arc<ServerView>,
    /// Distance of the server.
    pub distance: RouteDistance,
    /// Statistics that record the outcome.
    pub stats: Arc<ServerStats>,
}

impl RouteTarget {
    /// Returns the address for forwarded requests of the server's daemon.
    pub fn forward(&self) -> SocketAddr {
        self.view.forward
    }
}

/// Result of choosing a server.
#[derive(Clone, Debug)]
pub enum RouteChoice {
    /// The attempt goes to this server.
    Target(RouteTarget),
    /// Every server within reach would shed the request.
    Shed {
        /// Admission level of the least strict gate among them.
        level: CallPriority,
    },
    /// No server within reach accepts requests, or all of them were tried.
    NoServer,
}

impl RouteTable {
    /// Chooses the server for the attempt that `query` describes.
    ///
    /// A server that failed recently is chosen only if there is no other one within reach.
    pub fn choose(&self, query: &RouteQuery<'_>) -> RouteChoice {
        let Some(routes) = self.services.get(query.service) else {
            return RouteChoice::NoServer;
        };
        match routes.choose(query, RouteFitness::SlowStart) {
            RouteChoice::NoServer => routes.choose(query, RouteFitness::Penalised),
            choice => choice,
        }
    }

    /// Returns the servers of all services with distance and statistics, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (RouteDistance, &Arc<ServerView>, &ServerStats)> {
        self.services.values().flat_map(|routes| {
            let groups = DISTANCES.into_iter().zip(&routes.groups);
            groups.flat_map(|(distance, group)| {
                group
                    .iter()
                    .map(move |entry| (distance, &entry.view, &*entry.stats))
            })
        })
    }
}

impl ServiceRoutes {
    /// Chooses a server of at least `fitness`, nearest group first.
    fn choose(&self, query: &RouteQuery<'_>, fitness: RouteFitness) -> RouteChoice {
        let mut level = None;
        for (distance, group) in DISTANCES.into_iter().zip(&self.groups) {
            let limit = match level {
                None => query.reach.when_absent,
                Some(_) => query.reach.when_shed,
            };
            if distance > limit {
                break;
            }
            match choose_in_group(group, query, fitness, level.is_some()) {
                GroupChoice::Entry(entry) => return RouteChoice::Target(entry.target(distance)),
                GroupChoice::Shed(found) => level = level.max(Some(found)),
                GroupChoice::Empty => {}
            }
        }
        match level {
            Some(level) => RouteChoice::Shed { level },
            None => RouteChoice::NoServer,
        }
    }
}

impl RouteEntry {
    fn target(&self, distance: RouteDistance) -> RouteTarget {
        RouteTarget {
            key: self.key,
            view: Arc::clone(&self.view),
            distance,
            stats: Arc::clone(&self.stats),
        }
    }

    /// Returns the server's fitness for the request, or `None` if it must not be chosen.
    fn fitness(&self, query: &RouteQuery<'_>, rank: u64) -> Option<RouteFitness> {
        if query.tried.contains(&self.key) {
            return None;
        }
        let is_held_back = match self.view.state {
            ServerState::Leaving | ServerState::Suspect => return None,
            ServerState::Starting => rank & ((1 << STARTING_SHIFT) - 1) != 0,
            ServerState::Serving => false,
        };
        if self.stats.is_penalised(query.now) {
            return Some(RouteFitness::Penalised);
        }
        if is_held_back {
            return Some(RouteFitness::SlowStart);
        }
        Some(RouteFitness::Ready)
    }
}

/// Preference among servers; greater is better.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RouteFitness {
    Penalised,
    SlowStart,
    Ready,
}

enum GroupChoice<'a> {
    Entry(&'a RouteEntry),
    Shed(CallPriority),
    Empty,
}

/// Chooses the less loaded of the two entries with the highest fitness and rendezvous rank.
fn choose_in_group<'a>(
    group: &'a [RouteEntry],
    query: &RouteQuery<'_>,
    fitness: RouteFitness,
    is_spillover: bool,
) -> GroupChoice<'a> {
    let (first, second) = best_two(group, query, fitness);
    let Some(first) = first else {
        return GroupChoice::Empty;
    };
    let better = match second {
        Some(second) => less_loaded(first, second, query),
        None => first,
    };
    let level = better.stats.level(query.now);
    let is_full = is_spillover
        && better.stats.load_permille(better.view.slots, query.now) > SPILLOVER_LOAD_MAX;
    if query.priority > level || is_full {
        return GroupChoice::Shed(level);
    }
    GroupChoice::Entry(better)
}

type RankedEntry<'a> = ((RouteFitness, u64), &'a RouteEntry);

fn best_two<'a>(
    group: &'a [RouteEntry],
    query: &RouteQuery<'_>,
    least: RouteFitness,
) -> (Option<&'a RouteEntry>, Option<&'a RouteEntry>) {
    let mut first: Option<RankedEntry<'a>> = None;
    let mut second: Option<RankedEntry<'a>> = None;
    for entry in group {
        let rank = mix(entry.hash ^ query.request.0);
        let Some(fitness) = entry.fitness(query, rank) else {
            continue;
        };
        if fitness < least {
            continue;
        }
        let score = (fitness, rank);
        if first.is_none_or(|(best, _)| score > best) {
            second = first;
            first = Some((score, entry));
        } else if second.is_none_or(|(best, _)| score > best) {
            second = Some((score, entry));
        }
    }
    // A penalised or starting server is no alternative to a ready one.
    let second = second.filter(|(score, _)| first.is_some_and(|(best, _)| best.0 == score.0));
    (
        first.map(|(_, entry)| entry),
        second.map(|(_, entry)| entry),
    )
}

fn less_loaded<'a>(
    first: &'a RouteEntry,
    second: &'a RouteEntry,
    query: &RouteQuery<'_>,
) -> &'a RouteEntry {
    let now = query.now;
    let first_sheds = query.priority > first.stats.level(now);
    let second_sheds = query.priority > second.stats.level(now);
    if first_sheds != second_sheds {
        return if first_sheds { second } else { first };
    }
    let first_cost = first.stats.cost(first.view.slots, &second.stats, now);
    let second_cost = second.stats.cost(second.view.slots, &first.stats, now);
    if second_cost < first_cost {
        second
    } else {
        first
    }
}
