"""The metrics of all processes, as OpenTelemetry instruments."""

from collections.abc import Callable

from opentelemetry import metrics as api
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader

#: Bucket boundaries of response times, in seconds: a store or worker responds
#: in 5 ms, calls to them time out after 0.3 to 1.5 s, and a caller's request
#: after 3 s.
RESPONSE_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 0.6, 1.5, 3.0)

#: Bucket boundaries of the time to a job's first start, in seconds: the target
#: on an idle cluster is 0.2 s, and the bound for urgent jobs that are covered
#: by guarantees some 2.7 s.
START_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 2.7, 5.0, 15.0, 60.0)


class Metrics:
    """The instruments of a process.

    They are created before a meter provider is installed, so that modules can
    use them at any time. Without a provider, recording a value costs one call
    and has no effect.
    """

    def __init__(self) -> None:
        """Create the instruments."""
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
            explicit_bucket_boundaries_advisory=RESPONSE_BUCKETS_S,
        )
        self.leader_commit_s = meter.create_histogram(
            'leader_commit_s',
            explicit_bucket_boundaries_advisory=RESPONSE_BUCKETS_S,
        )
        self.leader_commits_retried = meter.create_counter(
            'leader_commits_retried'
        )
        self.leader_commits_rejected = meter.create_counter(
            'leader_commits_rejected'
        )
        self.progress_rejected = meter.create_counter('progress_rejected')
        self.jobs_unstored = meter.create_gauge('jobs_unstored')
        self.first_start_s = meter.create_histogram(
            'first_start_s',
            explicit_bucket_boundaries_advisory=START_BUCKETS_S,
        )
        self.start_order_s = meter.create_histogram(
            'start_order_s',
            explicit_bucket_boundaries_advisory=RESPONSE_BUCKETS_S,
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
        self.session_errors = meter.create_counter('session_errors')
        self.jobs_set_aside = meter.create_counter('jobs_set_aside')
        self.background_errors = meter.create_counter('background_errors')
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
        self.callers_refused = meter.create_counter('callers_refused')
        self.log_lines_dropped = meter.create_counter('log_lines_left_out')

    def observe(self, name: str, read: Callable[[], float]) -> None:
        """Export a gauge that is read whenever the metrics are collected."""

        def report(options: api.CallbackOptions) -> list[api.Observation]:
            return [api.Observation(read())]

        api.get_meter('curranthill').create_observable_gauge(
            name, callbacks=[report]
        )


#: The instruments of this process.
metrics = Metrics()


def install_metric_reader(reader: MetricReader) -> None:
    """Export the metrics through a reader; to be called once per process."""
    api.set_meter_provider(MeterProvider(metric_readers=[reader]))


__all__ = ('Metrics', 'install_metric_reader', 'metrics')
