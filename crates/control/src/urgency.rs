//! The urgency of requests, and the slots of a model server that are reserved for urgent ones (trunk reservation).
//!
//! Under overload the last slots of a model server are open to the most urgent requests alone; most slots are open to all,
//! so that nothing starves. While slots are free the reservation changes nothing.

/// The rank of a request among all requests for a service; 0 is the most urgent. The tenant's priority counts before the
/// route's.
pub type Urgency = u8;

/// The lowest priority of a tenant or a route; greater numbers count as this.
pub const LOWEST_PRIORITY: i64 = 9;
/// The fraction of a model server's slots that is closed to the least urgent requests.
const MAX_RESERVED_FRACTION: f64 = 0.12;
/// The urgency from which on the reservation grows no further.
const MAX_RESERVING_URGENCY: Urgency = 20;

/// The urgency of a request by the priorities of its tenant and its route, of which 0 is the highest.
pub fn of(tenant: i64, route: i64) -> Urgency {
    let (tenant, route) = (tenant.clamp(0, LOWEST_PRIORITY), route.clamp(0, LOWEST_PRIORITY));
    ((LOWEST_PRIORITY + 1) * tenant + route) as Urgency
}

/// Slots of a model server with `capacity` slots that are open to requests of an urgency. Whole slots are reserved, and
/// none where there are so few that one would be more than the greatest fraction.
///
/// ```
/// use pathbank_control::urgency::open_slots;
///
/// assert_eq!(open_slots(20.0, 0), 20.0);
/// assert_eq!(open_slots(25.0, 1), 24.0);
/// assert_eq!(open_slots(25.0, 20), 22.0);
/// assert_eq!(open_slots(25.0, 255), 22.0);
/// assert_eq!(open_slots(1.0, 255), 1.0);
/// ```
pub fn open_slots(capacity: f64, urgency: Urgency) -> f64 {
    let fraction = f64::from(urgency.min(MAX_RESERVING_URGENCY)) / f64::from(MAX_RESERVING_URGENCY);
    let reservable = MAX_RESERVED_FRACTION * capacity;
    if reservable < 1.0 { capacity } else { capacity - (reservable * fraction).ceil() }
}
