//! The immutable table that attempts choose from.

use super::{
    RequestHash, RouteDistance, RouteReach, ServerKey, ServerState, ServerStats, ServerView,
};
use crate::{hash::mix, name::ServiceName, priority::CallPriority, time::MonoTime};
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

/// Another zone that reports more than this is not sent what was shed here, in thousandths.
const SPILL_LOAD_MAX: u64 = 800;
/// One in `1 << STARTING_SHIFT` of the requests that hash to a starting server may go to it.
const STARTING_SHIFT: u32 = 2;
const DISTANCES: [RouteDistance; 3] = [
    RouteDistance::Zone,
    RouteDistance::Region,
    RouteDistance::Far,
];

/// One server in the table.
#[derive(Clone, Debug)]
pub(super) struct RouteEntry {
    pub(super) key: ServerKey,
    pub(super) hash: u64,
    pub(super) view: Arc<ServerView>,
    pub(super) stats: Arc<ServerStats>,
}

/// The servers of one service, nearest group first.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceRoutes {
    pub(super) groups: [Vec<RouteEntry>; DISTANCES.len()],
}

/// Servers by service and distance; immutable, replaced whole.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    pub(super) services: HashMap<ServiceName, ServiceRoutes>,
}

/// What an attempt is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The service that is called.
    pub service: &'a ServiceName,
    /// The same in every resend of the request.
    pub request: RequestHash,
    /// Compared with the level of the servers' gates.
    pub priority: CallPriority,
    /// Servers that earlier attempts of the request went to.
    pub tried: &'a [ServerKey],
    /// How far the attempt may go.
    pub reach: RouteReach,
    /// The current time.
    pub now: MonoTime,
}

/// The server that an attempt goes to.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    /// To exclude it from further attempts.
    pub key: ServerKey,
    /// Where the request is sent and for which backend server.
    pub view: Arc<ServerView>,
    /// How far away it is.
    pub distance: RouteDistance,
    /// Takes what the attempt shows.
    pub stats: Arc<ServerStats>,
}

impl RouteTarget {
    /// Returns where the daemon beside the server takes forwarded requests.
    pub fn forward(&self) -> SocketAddr {
        self.view.forward
    }
}

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub enum RouteChoice {
    /// To this server.
    Target(RouteTarget),
    /// Nowhere: every server within reach cuts at a level that refuses the request.
    Shed {
        /// The level of the least strict gate among them.
        level: CallPriority,
    },
    /// Nowhere: no server within reach takes requests, or all have been tried.
    NoServer,
}

impl RouteTable {
    /// Chooses where the attempt that `query` describes goes.
    ///
    /// A server that failed lately is taken only when no other one within reach is there.
    pub fn choose(&self, query: &RouteQuery<'_>) -> RouteChoice {
        let Some(routes) = self.services.get(query.service) else {
            return RouteChoice::NoServer;
        };
        match routes.choose(query, RouteFitness::Ramping) {
            RouteChoice::NoServer => routes.choose(query, RouteFitness::Penalised),
            choice => choice,
        }
    }

    /// Returns the servers of all services with their distance and stats, in no order.
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
    /// Chooses among the servers of at least `fitness`, nearest first.
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
            match choose_in(group, query, fitness, level.is_some()) {
                GroupChoice::Entry(entry) => return RouteChoice::Target(entry.target(distance)),
                GroupChoice::Shed(heard) => level = level.max(Some(heard)),
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

    /// Returns how readily the server is taken for the request, or `None` if it must not be.
    fn fitness(&self, query: &RouteQuery<'_>, rank: u64) -> Option<RouteFitness> {
        if query.tried.contains(&self.key) {
            return None;
        }
        let ramps = match self.view.state {
            ServerState::Leaving | ServerState::Suspect => return None,
            ServerState::Starting => rank & ((1 << STARTING_SHIFT) - 1) != 0,
            ServerState::Serving => false,
        };
        if self.stats.is_penalised(query.now) {
            return Some(RouteFitness::Penalised);
        }
        if ramps {
            return Some(RouteFitness::Ramping);
        }
        Some(RouteFitness::Ready)
    }
}

/// Larger is better.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum RouteFitness {
    Penalised,
    Ramping,
    Ready,
}

enum GroupChoice<'a> {
    Entry(&'a RouteEntry),
    Shed(CallPriority),
    Empty,
}

/// Takes the two entries of highest fitness and rendezvous rank, then the less loaded of them.
fn choose_in<'a>(
    group: &'a [RouteEntry],
    query: &RouteQuery<'_>,
    fitness: RouteFitness,
    is_spilled: bool,
) -> GroupChoice<'a> {
    let (first, second) = top_two(group, query, fitness);
    let Some(first) = first else {
        return GroupChoice::Empty;
    };
    let better = match second {
        Some(second) => less_loaded(first, second, query),
        None => first,
    };
    let level = better.stats.level(query.now);
    let is_full =
        is_spilled && better.stats.load_permille(better.view.slots, query.now) > SPILL_LOAD_MAX;
    if query.priority > level || is_full {
        return GroupChoice::Shed(level);
    }
    GroupChoice::Entry(better)
}

type RankedEntry<'a> = ((RouteFitness, u64), &'a RouteEntry);

fn top_two<'a>(
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
    // A penalised or ramping server is no alternative to a ready one.
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
