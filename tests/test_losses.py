"""``curranthill losses``: jobs' time and lost work, from hosts' logs."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

from curranthill.commands.operator import app
from curranthill.commands.timelines import (
    NOT_READY,
    USEFUL,
    WAITING,
    Timelines,
)

JOB = '36d1a8d4ede4975b'
FIRST = f'{JOB}.0.0.0'
SECOND = f'{JOB}.0.0.1'


def line(t_s: float, event: str, **fields: Any) -> dict[str, Any]:
    """Return a log line of one host."""
    named = {'t_s': t_s, 'host': 'h1', 'data_centre': 'dc', 'event': event}
    return {**named, **fields}


def lines() -> list[dict[str, Any]]:
    """Return the events of a gang of two that was preempted once."""
    return [
        line(
            1.5,
            'accepted',
            job=JOB,
            queue='q',
            priority=1,
            workspace='alpha',
            steps=[{'width': 2, 'needs': [4000, 1, 1], 'estimate_s': 2.0}],
            objective_s=5.0,
            took_s=0.5,
        ),
        line(2.0, 'placed', job=JOB, step=0, tasks=['0@w1', '1@w2']),
        line(2.5, 'preempted', task=FIRST, stops=1),
        line(2.6, 'run_ended', task=FIRST, how='stopped'),
        line(2.6, 'run_ended', task=SECOND, how='stopped'),
        line(4.0, 'placed', job=JOB, step=0, tasks=['0@w1', '1@w2']),
        line(6.0, 'run_ended', task=FIRST, how='done'),
        line(6.0, 'job_completed', job=JOB, lines_left_out=3),
    ]


class TimelineTest(unittest.TestCase):
    """The time of one job by its causes."""

    def test_all_time_has_one_cause(self) -> None:
        """The job waits, is preempted, waits again and completes."""
        timelines = Timelines()
        timelines.add_lines(lines())
        job = timelines.jobs[JOB]
        seconds = job.seconds_by_cause()
        self.assertAlmostEqual(seconds[WAITING], 1.0 + 1.4)
        self.assertAlmostEqual(seconds['preempted'], 0.6)
        self.assertAlmostEqual(seconds[USEFUL], 2.0)
        self.assertAlmostEqual(job.late_s, 0.0)

    def test_a_stop_without_a_reason_is_that_of_a_gang_member(self) -> None:
        """One of two members is preempted; each used 12 cores for 0.6 s."""
        timelines = Timelines()
        timelines.add_lines(lines())
        lost = [run for run in timelines.jobs[JOB].runs if run.cause != USEFUL]
        self.assertEqual(
            {run.task: run.cause for run in lost},
            {FIRST: 'preempted', SECOND: 'with its gang'},
        )
        self.assertAlmostEqual(sum(run.core_s for run in lost), 2 * 12 * 0.6)

    def test_stops_of_one_round_count_once(self) -> None:
        """Two members are stopped for a guarantee, then again beyond one."""
        timelines = Timelines()
        stops = [
            line(2.501, 'preempted', task=SECOND, stops=1),
            line(5.0, 'preempted', task=FIRST, stops=2, beyond_guarantee=True),
        ]
        timelines.add_lines(
            sorted([*lines(), *stops], key=lambda event: event['t_s'])
        )
        job = timelines.jobs[JOB]
        self.assertEqual(job.stop_times_s, [2.5, 5.0])
        self.assertEqual(job.stops_beyond_guarantee, 1)

    def test_the_wait_after_a_stop_is_shown(self) -> None:
        """It is preempted at 2.5 s and starts again at 4.0 s."""
        timelines = Timelines()
        timelines.add_lines(lines())
        self.assertAlmostEqual(
            timelines.jobs[JOB].longest_wait_after_stop_s, 1.5
        )

    def test_a_job_that_ended_too_late_to_earn_is_shown(self) -> None:
        """It earns until three times its objective of 5 s."""
        for ended_s, nothing in ((15.9, False), (16.1, True)):
            timelines = Timelines()
            events = [*lines()[:-1], line(ended_s, 'job_completed', job=JOB)]
            timelines.add_lines(events)
            self.assertEqual(timelines.jobs[JOB].earned_nothing, nothing)

    def test_time_in_which_a_job_was_not_ready_is_shown_apart(self) -> None:
        """It is 1 s before the first run and 1 of 1.4 s between the runs.

        It is logged twice, and counts only while no run is active.
        """
        timelines = Timelines()
        not_ready = [
            line(3.0, 'not_ready', job=JOB, held_s=2.0),
            line(3.6, 'not_ready', job=JOB, held_s=2.6),
        ]
        timelines.add_lines(
            sorted([*lines(), *not_ready], key=lambda event: event['t_s'])
        )
        seconds = timelines.jobs[JOB].seconds_by_cause()
        self.assertAlmostEqual(seconds[NOT_READY], 1.0 + 1.0)
        self.assertAlmostEqual(seconds[WAITING], 0.4)
        self.assertAlmostEqual(seconds['preempted'], 0.6)

    def test_lines_that_lack_fields_are_counted(self) -> None:
        """They have no other effect."""
        timelines = Timelines()
        malformed = [line(0.5, 'accepted', job='other'), line(7.0, 'placed')]
        timelines.add_lines([*lines(), *malformed])
        self.assertEqual(timelines.malformed_lines, 2)
        self.assertEqual(timelines.dropped_lines, 3)
        self.assertEqual(list(timelines.jobs), [JOB])


class CommandTest(unittest.TestCase):
    """The output of the command."""

    def run_command(self, text: str, *options: str) -> tuple[int, str]:
        """Return the exit code and the output for one log file."""
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / 'h1.log').write_text(text, 'utf-8')
            result = CliRunner().invoke(app, ['losses', folder, *options])
        return result.exit_code, result.stdout

    def test_jobs_are_grouped_by_queue(self) -> None:
        """Their mean time has its causes; a truncated line is ignored."""
        text = '\n'.join(map(json.dumps, lines()))
        code, output = self.run_command(f'{text}\n{{"t_s": 9, "ev', '--json')
        self.assertEqual(code, 0)
        rows = json.loads(output)
        self.assertEqual(len(rows), 1)
        row = rows[0]
        self.assertEqual(row['queue'], '1 q')
        self.assertEqual(row['jobs'], 1)
        self.assertAlmostEqual(row['waiting'], 2.4)
        self.assertEqual(row['lost core-s'], 14)
        self.assertEqual(row['most stops of a job'], 1)
        self.assertAlmostEqual(row['longest wait after a stop s'], 1.5)

    def test_logs_without_a_job_are_an_error(self) -> None:
        """The exit code is 1."""
        code, _ = self.run_command('no event')
        self.assertEqual(code, 1)
