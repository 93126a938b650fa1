"""The settings of a process, one record a concern, units in the names."""

from typing import NamedTuple

from curranthill.telemetry.logs import LogStyle


class HostSettings(NamedTuple):
    """Where this process runs.

    :param address: the IP number that peers and callers reach it at.
    """

    name: str
    data_centre: str
    region: str
    address: str = '127.0.0.1'


class PlatformSettings(NamedTuple):
    """How the platform's services are reached and how hard.

    :param client: a name in the registry of platform clients.
    :param writes_per_s: writes of jobs and keys by one process; the leader's
        heartbeat is not counted.
    :param list_interval_s: how often the host list is read.
    :param revision_interval_s: how often the revision row is read.
    """

    url: str
    client: str = 'http'
    list_interval_s: float = 2.0
    revision_interval_s: float = 3.0
    writes_per_s: float = 40.0


class MembershipSettings(NamedTuple):
    """How processes watch each other.

    :param port: the port of the inner protocol.
    :param seeds: ``address:port`` of some peers to begin with.
    :param key_file: a file that holds the key shared by all processes; the
        environment variable CURRANTHILL_KEY takes its place.
    :param probe_interval_s: the time between two random probes.
    :param probe_timeout_s: how long an answer may take.
    :param suspicion_s: how long a silent peer is doubted before it counts
        as dead.
    :param remote_contacts: peers watched in each other data centre.
    """

    port: int = 0
    seeds: tuple[str, ...] = ()
    key_file: str = ''
    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    suspicion_s: float = 3.0
    remote_contacts: int = 2


class LogSettings(NamedTuple):
    """How log lines look."""

    style: LogStyle = 'json'
    level: str = 'INFO'


class CallerSettings(NamedTuple):
    """Bounds on what callers may send and hold.

    :param idle_s: how long a connection may stay without a request.
    :param body_timeout_s: how long a body may take to arrive.
    :param max_wait_s: the longest ``wait_s`` of a job query.
    :param key_retention_s: how long an idempotency key is remembered.
    """

    port: int = 0
    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 8190
    max_connections: int = 1000
    idle_s: float = 75.0
    body_timeout_s: float = 10.0
    max_wait_s: float = 60.0
    key_retention_s: float = 86400.0
    drain_s: float = 20.0


class QuickSettings(NamedTuple):
    """The quick lane's limits.

    :param choice: a name in the registry of worker choices.
    :param queue_per_workspace: requests that may wait for one workspace.
    :param gateways: the most gateways a data centre may have; a worker's
        connections are shared among so many without asking anyone.
    :param retry_share: retries allowed as a share of recent requests.
    :param healthy_share: the share of workers that is never ejected.
    """

    choice: str = 'two_choices'
    queue_per_workspace: int = 64
    gateways: int = 4
    retry_share: float = 0.1
    healthy_share: float = 0.5
    leaving_after_s: float = 3.0


class GatewaySettings(NamedTuple):
    """All settings of a gateway."""

    host: HostSettings
    platform: PlatformSettings
    membership: MembershipSettings = MembershipSettings()
    callers: CallerSettings = CallerSettings()
    quick: QuickSettings = QuickSettings()
    logs: LogSettings = LogSettings()
    metrics_port: int = 0


class LeaseSettings(NamedTuple):
    """The terms of leases, in seconds.

    :param leader_term_s: how long a scheduler leads without a renewal.
    :param leader_renew_s: how often it renews.
    :param margin_s: how long before its end a lease counts as over.
    :param member_term_s: the term of a gang member's lease at a worker.
    :param reserve_term_s: the first term of a reservation; longer than a
        poll may be held, since only the next poll renews it.
    :param poll_wait_s: how long a worker may hold a poll; well inside the
        member term.
    """

    leader_term_s: float = 4.0
    leader_renew_s: float = 1.0
    margin_s: float = 0.5
    member_term_s: float = 20.0
    reserve_term_s: float = 12.0
    poll_wait_s: float = 5.0


class PlacementSettings(NamedTuple):
    """How jobs are placed.

    :param policy: a name in the registry of policies.
    :param quick_slots: slots kept for quick work when demand is unknown.
    :param grace_s: the time that a preempted task has to checkpoint.
    :param failures: different healthy workers on which a job may fail.
    :param preemptions: how often one job may be preempted.
    :param losses: attempts of one job that may be lost with their workers; it
        may be what crashes them.
    :param quarantine_s: how long a worker on which different jobs fail gets
        no work before it is probed.
    :param quarantine_failures: how many different jobs those are.
    :param scan_interval_s: how often all open rows are read, for jobs of
        which no news arrived; a row has about a kilobyte.
    :param adopt_marked_s: how long after its home's lease lapsed a marked
        idempotent job may be run elsewhere.
    """

    policy: str = 'guarantees'
    quick_slots: int = 4
    grace_s: float = 1.0
    failures: int = 3
    preemptions: int = 5
    losses: int = 5
    quarantine_s: float = 30.0
    quarantine_failures: int = 3
    adopt_marked_s: float = 300.0
    scan_interval_s: float = 300.0


class SchedulerSettings(NamedTuple):
    """All settings of a scheduler."""

    host: HostSettings
    platform: PlatformSettings
    membership: MembershipSettings = MembershipSettings()
    leases: LeaseSettings = LeaseSettings()
    placement: PlacementSettings = PlacementSettings()
    gateways: int = 4
    logs: LogSettings = LogSettings()
    metrics_port: int = 0


class OperatorSettings(NamedTuple):
    """Settings of the operators' command.

    :param entry_hosts: ``address:port`` of some inner services to ask.
    """

    platform: PlatformSettings
    entry_hosts: tuple[str, ...] = ()
    key_file: str = ''


__all__ = (
    'CallerSettings',
    'GatewaySettings',
    'HostSettings',
    'LeaseSettings',
    'LogSettings',
    'MembershipSettings',
    'OperatorSettings',
    'PlacementSettings',
    'PlatformSettings',
    'QuickSettings',
    'SchedulerSettings',
)
