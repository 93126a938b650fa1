"""Where jobs' time went, from the logs of several hosts."""

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
    """Return the life of a gang of two that was stopped once."""
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
        line(2.5, 'preempted', task=FIRST),
        line(2.6, 'run_ended', task=FIRST, how='stopped'),
        line(2.6, 'run_ended', task=SECOND, how='stopped'),
        line(4.0, 'placed', job=JOB, step=0, tasks=['0@w1', '1@w2']),
        line(6.0, 'run_ended', task=FIRST, how='done'),
        line(6.0, 'job_completed', job=JOB, lines_left_out=3),
    ]


class TimelineTest(unittest.TestCase):
    """One job's time, moment by moment."""

    def test_each_moment_has_one_cause(self) -> None:
        """It waits, runs in vain, waits again and runs to its end."""
        timelines = Timelines()
        timelines.read(lines())
        job = timelines.jobs[JOB]
        spent = job.seconds_by_cause()
        self.assertAlmostEqual(spent[WAITING], 1.0 + 1.4)
        self.assertAlmostEqual(spent['preempted'], 0.6)
        self.assertAlmostEqual(spent[USEFUL], 2.0)
        self.assertAlmostEqual(job.late_s, 0.0)

    def test_a_stop_without_a_reason_came_with_the_gang(self) -> None:
        """Only one member was chosen; both took 12 cores for 0.6 s."""
        timelines = Timelines()
        timelines.read(lines())
        lost = [run for run in timelines.jobs[JOB].runs if run.cause != USEFUL]
        self.assertEqual(
            {run.task: run.cause for run in lost},
            {FIRST: 'preempted', SECOND: 'with its gang'},
        )
        self.assertAlmostEqual(sum(run.core_s for run in lost), 2 * 12 * 0.6)

    def test_time_in_which_it_was_not_ready_is_told_apart(self) -> None:
        """Of 1.4 s between two runs 1 s, told twice; while it ran, none."""
        timelines = Timelines()
        held = [
            line(3.0, 'not_ready', job=JOB, held_s=2.0),
            line(3.6, 'not_ready', job=JOB, held_s=2.6),
        ]
        timelines.read(sorted([*lines(), *held], key=lambda one: one['t_s']))
        spent = timelines.jobs[JOB].seconds_by_cause()
        self.assertAlmostEqual(spent[NOT_READY], 1.0 + 1.0)
        self.assertAlmostEqual(spent[WAITING], 0.4)
        self.assertAlmostEqual(spent['preempted'], 0.6)

    def test_lines_without_their_fields_are_counted(self) -> None:
        """They change nothing else."""
        timelines = Timelines()
        broken = [line(0.5, 'accepted', job='other'), line(7.0, 'placed')]
        timelines.read([*lines(), *broken])
        self.assertEqual(timelines.unread, 2)
        self.assertEqual(timelines.left_out, 3)
        self.assertEqual(list(timelines.jobs), [JOB])


class CommandTest(unittest.TestCase):
    """``curranthill losses``."""

    def run_command(self, text: str, *options: str) -> tuple[int, str]:
        """Return the exit code and the output for one log file."""
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / 'h1.log').write_text(text, 'utf-8')
            result = CliRunner().invoke(app, ['losses', folder, *options])
        return result.exit_code, result.stdout

    def test_jobs_are_summed_up_by_queue(self) -> None:
        """With the seconds a job by cause; a cut-off line is passed over."""
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

    def test_logs_without_a_job_are_said_so(self) -> None:
        """With exit code 1."""
        code, _ = self.run_command('no event')
        self.assertEqual(code, 1)
