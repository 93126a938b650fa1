"""Records of the settings, one for each concern, with units in the names."""

from typing import NamedTuple

from curranthill.ingress.limits import MachineLimits
from curranthill.telemetry.logs import LogStyle


class HostSettings(NamedTuple):
    """The host of this process and its location.

    :param address: the IP address at which peers and callers reach it.
    """

    name: str
    data_centre: str
    region: str
    address: str = '127.0.0.1'


class PlatformSettings(NamedTuple):
    """How the platform's services are reached, and at which rates.

    :param client: a name in the registry of platform clients.
    :param writes_per_s: the maximum rate at which one process writes jobs and
        keys; the leader's heartbeat is not counted.
    :param list_interval_s: the interval between reads of the host list.
    :param revision_interval_s: the interval between reads of the revision row.
    """

    url: str
    client: str = 'http'
    list_interval_s: float = 2.0
    revision_interval_s: float = 3.0
    writes_per_s: float = 40.0


class MembershipSettings(NamedTuple):
    """Membership and failure detection among the processes.

    :param port: the port of the inner protocol.
    :param seeds: ``address:port`` of the peers that are contacted first.
    :param key_file: a file with the key that all processes share; the
        environment variable CURRANTHILL_KEY has precedence.
    :param probe_interval_s: the interval between two probes.
    :param probe_timeout_s: the timeout of a probe.
    :param suspicion_s: how long an unresponsive peer is suspected before it is
        declared dead.
    :param remote_contacts: the number of peers that are probed in each other
        data centre.
    """

    port: int = 0
    seeds: tuple[str, ...] = ()
    key_file: str = ''
    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.5
    suspicion_s: float = 3.0
    remote_contacts: int = 2


class LogSettings(NamedTuple):
    """The format and the minimum level of log lines."""

    style: LogStyle = 'json'
    level: str = 'INFO'


class CallerSettings(NamedTuple):
    """Limits on callers' connections and requests.

    :param idle_s: how long a connection without a request is kept open.
    :param body_timeout_s: how long a request's body may take to arrive.
    :param max_wait_s: the maximum ``wait_s`` of a job query.
    :param key_retention_s: how long an idempotency key is stored.
    :param drain_s: how long requests may take to end after a stop signal.
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
    """Limits on quick requests.

    :param choice: a name in the registry of worker choices.
    :param queue_per_workspace: the maximum number of waiting requests of one
        workspace.
    :param gateways: the maximum number of gateways in a data centre; each may
        use its share of a worker's connections without coordination.
    :param retry_share: the maximum share of retries in recent requests.
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
    machine: MachineLimits = MachineLimits()
    logs: LogSettings = LogSettings()
    metrics_port: int = 0


class LeaseSettings(NamedTuple):
    """The terms of leases, in seconds.

    :param leader_term_s: how long a scheduler leads without a renewal.
    :param leader_renew_s: the interval between two renewals.
    :param margin_s: how long before its end a lease is regarded as expired.
    :param member_term_s: the term of a gang member's lease at a worker.
    :param reserve_term_s: the first term of a reservation; longer than
        ``poll_wait_s``, since only the next poll renews it.
    :param poll_wait_s: how long a worker may delay its response to a poll;
        much shorter than ``member_term_s``.
    """

    leader_term_s: float = 4.0
    leader_renew_s: float = 1.0
    margin_s: float = 0.5
    member_term_s: float = 20.0
    reserve_term_s: float = 12.0
    poll_wait_s: float = 5.0


class PlacementSettings(NamedTuple):
    """How jobs are placed, preempted and retried.

    :param policy: a name in the registry of policies.
    :param quick_slots: the minimum number of slots reserved for quick work;
        they are reserved also while its demand is unknown.
    :param grace_s: how long a preempted task may take to checkpoint.
    :param failures: the number of different healthy workers on which a job
        fails before it is given up.
    :param preemptions: how often a job may be preempted before it is placed as
        non-preemptible, if the guarantees allow it.
    :param losses: the number of a job's attempts that are lost with their
        workers before it is given up: it may be what crashes them.
    :param quarantine_s: how long a worker on which different jobs fail gets no
        work, until it is tried again.
    :param quarantine_failures: the number of different jobs that fail on a
        worker before it is quarantined.
    :param scan_interval_s: the interval between reads of all open rows, which
        find jobs whose notification was lost; a row has about a kilobyte.
    :param adopt_marked_s: how long after its home's lease expired an idempotent
        job with a start record may be run elsewhere.
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

    :param entry_hosts: ``address:port`` of some processes that it may query.
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
    'MachineLimits',
    'MembershipSettings',
    'OperatorSettings',
    'PlacementSettings',
    'PlatformSettings',
    'QuickSettings',
    'SchedulerSettings',
)
