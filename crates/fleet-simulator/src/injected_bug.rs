//! Bugs that can be injected, so that each check is shown to find one.

/// A bug in the protocol, a disk or a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// Followers count a lease from the response, not from the request.
    LeaseFromResponse,
    /// One voter's grant makes a lease.
    SingleVoterQuorum,
    /// Replicas that start grant leases at once, though earlier ones may still hold.
    NoQuarantine,
    /// Replicas take leases to be expired at once.
    NoLeaseWait,
    /// A gateway sends without checking its authorization again.
    NoRecheck,
    /// Disks of replicas report syncs that have not happened.
    IgnoredSyncs,
    /// A replica that lost its disk is bootstrapped again.
    BootstrappedAgain,
    /// Permits are granted again once the lease has expired, before the server's idle limit.
    NoIdleWait,
    /// A connection closed by the gateway counts as closed at the server.
    CountedClosedLocally,
    /// Gateways open connections without a permit.
    NoPermits,
}

impl InjectedBug {
    /// All of them, by their names on the command line.
    pub const ALL: [(&'static str, InjectedBug); 10] = [
        ("lease-from-answer", InjectedBug::LeaseFromResponse),
        ("one-is-enough", InjectedBug::SingleVoterQuorum),
        ("no-quarantine", InjectedBug::NoQuarantine),
        ("no-wait", InjectedBug::NoLeaseWait),
        ("no-second-look", InjectedBug::NoRecheck),
        ("lying-disks", InjectedBug::IgnoredSyncs),
        ("founded-anew", InjectedBug::BootstrappedAgain),
        ("before-idle", InjectedBug::NoIdleWait),
        ("closed-here", InjectedBug::CountedClosedLocally),
        ("no-slots", InjectedBug::NoPermits),
    ];
}
