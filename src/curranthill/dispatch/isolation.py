"""Keeps an error in the work on one job from affecting the others."""

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from functools import wraps
from typing import TYPE_CHECKING, Any

from curranthill.dispatch.leadership import LeadershipLostError
from curranthill.dispatch.progress_writer import ProgressWriter
from curranthill.dispatch.workers import EndReport
from curranthill.placement import ActiveJob, Run
from curranthill.telemetry import metrics
from curranthill.telemetry.events import events

if TYPE_CHECKING:
    from curranthill.dispatch.session import WorkerSession
    from curranthill.dispatch.term_state import TermState


class JobIsolation:
    """Sets a job aside if recording an event of it fails.

    Its state in memory may be inconsistent, so nothing more of it is started,
    stored or acknowledged in this term. The next leader finds it as it was
    stored before.

    :param jobs: the jobs of the term.
    """

    def __init__(
        self, *, jobs: Mapping[str, ActiveJob], writer: ProgressWriter
    ) -> None:
        """Initialize without jobs that are set aside."""
        self._jobs = jobs
        self._writer = writer

    @contextmanager
    def of(self, job_id: str) -> Iterator[None]:
        """Provide a context whose errors set a job aside."""
        try:
            yield
        except LeadershipLostError:
            raise
        except Exception as error:
            self.set_aside(job_id, error)

    def is_set_aside(self, job_id: str) -> bool:
        """Return whether a job has been set aside."""
        job = self._jobs.get(job_id)
        return job is not None and job.set_aside

    def set_aside(self, job_id: str, error: Exception) -> None:
        """Set a job aside after an error; one that is not known is logged."""
        job = self._jobs.get(job_id)
        if job is not None:
            job.set_aside = True
        self._writer.set_aside(job_id)
        metrics.jobs_set_aside.add(1)
        events.log(
            'job_set_aside',
            job=job_id,
            known=job is not None,
            error=repr(error),
        )


def isolated(record: Callable[..., None]) -> Callable[..., None]:
    """Decorate a method that records what a session says of a run or an end."""

    @wraps(record)
    def wrapper(
        term: 'TermState',
        session: 'WorkerSession',
        subject: Run | EndReport,
        *rest: Any,
    ) -> None:
        key = subject.key if isinstance(subject, Run) else subject.task
        if term.isolation.is_set_aside(key.job_id):
            return
        with term.isolation.of(key.job_id):
            record(term, session, subject, *rest)

    return wrapper


__all__ = ('JobIsolation', 'isolated')
