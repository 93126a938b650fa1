"""The metrics of every process, by OpenTelemetry."""

from opentelemetry import metrics as api
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader


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
        self.replies_lost = meter.create_counter('table_replies_lost')
        self.requests = meter.create_counter('requests')
        self.refusals = meter.create_counter('refusals')
        self.retries = meter.create_counter('retries')
        self.placements = meter.create_counter('placements')
        self.preemptions = meter.create_counter('preemptions')
        self.takeovers = meter.create_counter('takeovers')
        self.guarantees_at_risk = meter.create_gauge('guarantees_at_risk')
        self.revision = meter.create_gauge('revision_in_force')
        self.revision_refused = meter.create_counter('revisions_refused')
        self.quick_latency_s = meter.create_histogram('quick_latency_s')
        self.decision_s = meter.create_histogram('placement_decision_s')


#: The instruments of this process.
metrics = Metrics()


def provide(reader: MetricReader) -> None:
    """Send this process's metrics to a reader, once a process."""
    api.set_meter_provider(MeterProvider(metric_readers=[reader]))


__all__ = ('Metrics', 'metrics', 'provide')
