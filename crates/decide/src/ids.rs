//! Identifiers and times that the caller and the decision module exchange.

/// Microseconds: a time span, or a point in time on the caller's clock.
pub type Micros = u64;

/// A request, identified by the caller; the module returns the id unmodified.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A cache node or the origin, identified by the caller; the module does not interpret the id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EndpointId(pub u64);

/// The key that a request reads or writes; requests with the same key read the same cached value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u64);

/// Index into [`Settings::classes`](crate::api::Settings::classes).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(pub u8);

/// Index into [`Settings::tenants`](crate::api::Settings::tenants).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub u32);

/// A zone (data centre).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u8);

/// A cell: a small set of endpoints that share their memory of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CellId(pub u16);

/// A timer, identified by the module; the caller returns it in [`Event::Timer`](crate::api::Event::Timer).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Token(pub u64);
