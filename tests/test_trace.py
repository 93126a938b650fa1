"""``curranthill trace``: the events of one job, from several hosts' logs."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from typer.testing import CliRunner

from curranthill.commands.operator import app

JOB = '36d1a8d4ede4975b'


def line(t_s: float, host: str, event: str, **fields: Any) -> str:
    """Return a log line."""
    return json.dumps({'t_s': t_s, 'host': host, 'event': event, **fields})


class TraceTest(unittest.TestCase):
    """The output of the command."""

    def trace(self, *options: str) -> list[str]:
        """Return the output for a job that two hosts logged, by lines."""
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / 'h2.log').write_text(
                '\n'.join(
                    (
                        line(
                            2.0,
                            'h2',
                            'placed',
                            job=JOB,
                            step=0,
                            attempt=1,
                            tasks=['0@w1'],
                        ),
                        line(
                            3.0,
                            'h2',
                            'run_ended',
                            task=f'{JOB}.0.0.0',
                            attempt=1,
                            how='failed',
                            worker='w1',
                        ),
                        line(3.1, 'h2', 'job_ended', job=JOB, state='failed'),
                        line(2.5, 'h2', 'placed', job='other', tasks=[]),
                        '{"t_s": 9, "event": "cut off, job": "' + JOB,
                    ),
                ),
                'utf-8',
            )
            (Path(folder) / 'h1.log').write_text(
                line(
                    1.0,
                    'h1',
                    'accepted',
                    job=JOB,
                    queue='q',
                    workspace='a',
                    took_s=0.01,
                    objective_s=5.0,
                ),
                'utf-8',
            )
            arguments = ['trace', JOB, folder, *options]
            result = CliRunner().invoke(app, arguments)
        self.assertEqual(result.exit_code, 0, result.output)
        return result.output.splitlines()

    def test_events_of_all_hosts_are_printed_in_chronological_order(
        self,
    ) -> None:
        """Each is a sentence, with the time since the first event."""
        output = self.trace()
        self.assertEqual(len(output), 4)
        self.assertIn('h1  accepted for queue q', output[0])
        self.assertIn('1.000 s  h2  step 0 placed as attempt 1', output[1])
        self.assertIn('attempt 1 ended on w1: failed', output[2])
        self.assertIn('ended as failed', output[3])

    def test_events_are_printed_as_json(self) -> None:
        """Programs read them by this option."""
        kinds = [json.loads(event)['event'] for event in self.trace('--json')]
        self.assertEqual(
            kinds,
            ['accepted', 'placed', 'run_ended', 'job_ended'],
        )

    def test_a_waiting_job_is_shown_with_its_reasons(self) -> None:
        """What blocks it, whose reservation it waits for, unused workers."""
        blocking_task = {
            'task': f'{JOB}.0.0.1',
            'attempt': 2,
            'worker': 'w1',
            'state': 'unknown',
            'held_s': 4.0,
            'stop_wanted': True,
            'tracked': False,
            'listed': True,
            'reachable': False,
            'synced': False,
            'gone': False,
        }
        waiting = {
            'job': JOB,
            'step': 0,
            'tasks': 7,
            'waits_for': 'room that is kept for others',
            'kept_for': ['b2'],
            'workers_listed': 24,
            'workers_usable': 22,
            'workers_empty': 3,
            'workers_with_suspect': 2,
            'waited_s': 20.0,
        }
        not_ready = {
            'job': JOB,
            'step': 0,
            'held_by': 'a run that is not at work',
            'held_s': 6.0,
            'waited_s': 30.0,
            'held_tasks': 3,
            'held': [blocking_task],
            'later_steps': 1,
            'due_in_s': 0.0,
        }
        logs = (
            line(1.0, 'h2', 'workers_unused', unused=9, listed=24, workers={}),
            line(
                2.0,
                'h2',
                'workers_unused',
                unused=2,
                listed=24,
                workers={'unreachable': ['w1', 'w2']},
            ),
            line(3.0, 'h2', 'waiting', **waiting),
            line(9.0, 'h2', 'not_ready', **not_ready),
            line(10.0, 'h2', 'workers_unused', unused=1, listed=24, workers={}),
        )
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / 'h2.log').write_text('\n'.join(logs), 'utf-8')
            result = CliRunner().invoke(app, ['trace', JOB, folder])
        output = result.output.splitlines()
        self.assertEqual(len(output), 3, result.output)
        self.assertIn(
            '2 of 24 listed workers are unused: unreachable (w1, w2)',
            output[0],
        )
        self.assertIn('kept for others (b2)', output[1])
        self.assertIn('of 24 workers 22 usable, 3 empty, 2 with a', output[1])
        self.assertIn(
            'has not been ready for 6.0 s: blocked by a run that', output[2]
        )
        self.assertIn(
            'attempt 2 unknown for 4.0 s, to be stopped on w1: '
            'run not tracked, unreachable, not synced) and 2 more',
            output[2],
        )
        self.assertIn('1 later steps wait for it', output[2])

    def test_an_unknown_job_is_an_error(self) -> None:
        """The exit code is 1."""
        with tempfile.TemporaryDirectory() as folder:
            result = CliRunner().invoke(app, ['trace', JOB, folder])
        self.assertEqual(result.exit_code, 1)
