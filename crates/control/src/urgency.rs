//! How urgent requests are, and what of a model server's slots is kept for the urgent ones (trunk
//! reservation).
//!
//! Under overload the last slots of a model server are open to what is most urgent alone; most slots are open
//! to all, so that nothing starves. While slots are free the reservation changes nothing.

/// Of all requests for a service; 0: the most urgent. A tenant's priority goes before its route's.
pub type Urgency = u8;

/// The lowest priority of a tenant or a route that is told apart.
pub const LOWEST_PRIORITY: i64 = 9;
/// The least urgent requests leave this part of a model server's slots to others; the most urgent ones leave
/// none.
const MOST_RESERVED: f64 = 0.12;
/// The urgency from which on as much is reserved as ever.
const LEAST_URGENT: Urgency = 20;

/// The urgency of a request by its tenant's and its route's priority, 0 first.
pub fn of(tenant: i64, route: i64) -> Urgency {
    let (tenant, route) = (tenant.clamp(0, LOWEST_PRIORITY), route.clamp(0, LOWEST_PRIORITY));
    ((LOWEST_PRIORITY + 1) * tenant + route) as Urgency
}

/// Of so many slots of a model server, those that are open to requests of an urgency.
///
/// ```
/// use pathbank_control::urgency::open_slots;
///
/// assert_eq!(open_slots(20.0, 0), 20.0);
/// assert_eq!(open_slots(25.0, 20), 22.0);
/// assert_eq!(open_slots(25.0, 255), 22.0);
/// ```
pub fn open_slots(capacity: f64, urgency: Urgency) -> f64 {
    let part = f64::from(urgency.min(LEAST_URGENT)) / f64::from(LEAST_URGENT);
    capacity * (1.0 - MOST_RESERVED * part)
}
