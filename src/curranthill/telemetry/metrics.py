"""The metrics of every process, by OpenTelemetry."""

from opentelemetry import metrics as api
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader

#: Bounds of replies, in seconds: a store or worker replies in 5 ms, is given
#: up on after 0.3 to 1.5 s, and a caller after 3 s.
REPLY_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 0.6, 1.5, 3.0)

#: Bounds of first starts, in seconds: 0.2 s is the aim on an idle cluster, and
#: some 2.7 s the bound of covered urgent jobs.
START_BOUNDS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 2.7, 5.0, 15.0, 60.0)


class Metrics:
    """Each counter and histogram under one name, made once a process.

    The instruments exist before a provider does, so that modules can use
    them at any time; without a provider they cost a call and keep nothing.
    """

    def __init__(self) -> None:
        """Make the instruments."""
        meter = api.get_meter('curranthill')
        self.table_writes = meter.create_counter('table_writes')
        self.table_reads = meter.create_counter('table_reads')
        self.table_replies_lost = meter.create_counter('table_replies_lost')
        self.requests = meter.create_counter('requests')
        self.refusals = meter.create_counter('refusals')
        self.jobs_refused = meter.create_counter('jobs_turned_away')
        self.retries = meter.create_counter('retries')
        self.placements = meter.create_counter('placements')
        self.preemptions = meter.create_counter('preemptions')
        self.preempted_core_s = meter.create_counter('preempted_core_s')
        self.takeovers = meter.create_counter('takeovers')
        self.guarantees_at_risk = meter.create_gauge('guarantees_at_risk')
        self.revision_in_force = meter.create_gauge('revision_in_force')
        self.revisions_refused = meter.create_counter('revisions_refused')
        self.quick_latency_s = meter.create_histogram('quick_latency_s')
        self.placement_decision_s = meter.create_histogram(
            'placement_decision_s'
        )
        self.jobs_accepted = meter.create_counter('jobs_accepted')
        self.accept_s = meter.create_histogram(
            'accept_s',
            explicit_bucket_boundaries_advisory=REPLY_BOUNDS_S,
        )
        self.leader_commit_s = meter.create_histogram(
            'leader_commit_s',
            explicit_bucket_boundaries_advisory=REPLY_BOUNDS_S,
        )
        self.leader_commits_retried = meter.create_counter(
            'leader_commits_retried'
        )
        self.first_start_s = meter.create_histogram(
            'first_start_s',
            explicit_bucket_boundaries_advisory=START_BOUNDS_S,
        )
        self.start_order_s = meter.create_histogram(
            'start_order_s',
            explicit_bucket_boundaries_advisory=REPLY_BOUNDS_S,
        )
        self.orders_unanswered = meter.create_counter('orders_unanswered')
        self.runs_ended = meter.create_counter('runs_ended')
        self.jobs_ended = meter.create_counter('jobs_ended')
        self.waiting_jobs = meter.create_gauge('waiting_jobs')
        self.oldest_waiting_s = meter.create_gauge('oldest_waiting_s')
        self.workspace_waiting_jobs = meter.create_gauge(
            'workspace_waiting_jobs',
        )
        self.workspace_oldest_waiting_s = meter.create_gauge(
            'workspace_oldest_waiting_s',
        )
        self.runs_stopped = meter.create_counter('runs_stopped')
        self.workers_unreachable = meter.create_gauge('workers_unreachable')
        self.workers_unused = meter.create_gauge('workers_unused')
        self.workers_restarted = meter.create_counter('workers_restarted')
        self.runs_lost_with_worker = meter.create_counter(
            'runs_lost_with_worker'
        )
        self.workers_slow = meter.create_gauge('workers_slow')
        self.workers_fast = meter.create_gauge('workers_fast')
        self.moves = meter.create_counter('moves')
        self.tasks_given_up = meter.create_counter('tasks_given_up')
        self.job_inconsistencies = meter.create_counter('job_inconsistencies')
        self.data_centres_closed = meter.create_gauge('data_centres_closed')
        self.suspensions = meter.create_counter('pauses')
        self.malformed_records = meter.create_counter('records_bad')
        self.store_calls_relayed = meter.create_counter('store_calls_relayed')
        self.store_bytes_relayed = meter.create_counter('store_bytes_relayed')
        self.truncated_responses = meter.create_counter('answers_cut')
        self.truncated_response_bytes = meter.create_counter('answer_bytes_cut')
        self.log_lines_dropped = meter.create_counter('log_lines_left_out')


#: The instruments of this process.
metrics = Metrics()


def install_metric_reader(reader: MetricReader) -> None:
    """Send this process's metrics to a reader, once a process."""
    api.set_meter_provider(MeterProvider(metric_readers=[reader]))


__all__ = ('Metrics', 'install_metric_reader', 'metrics')
