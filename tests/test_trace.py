"""The story of one job, from the logs of several hosts."""

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
    """``curranthill trace``."""

    def trace(self, *options: str) -> list[str]:
        """Return what is printed for one job in two hosts' logs."""
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

    def test_lines_of_all_hosts_are_told_in_order(self) -> None:
        """A sentence each, with the time since the first."""
        told = self.trace()
        self.assertEqual(len(told), 4)
        self.assertIn('h1  accepted for queue q', told[0])
        self.assertIn('1.000 s  h2  step 0 placed as attempt 1', told[1])
        self.assertIn('ended failed at w1', told[2])
        self.assertIn('ended as failed', told[3])

    def test_the_lines_themselves_can_be_had(self) -> None:
        """For other programs."""
        kinds = [json.loads(one)['event'] for one in self.trace('--json')]
        self.assertEqual(
            kinds,
            ['accepted', 'placed', 'run_ended', 'job_ended'],
        )

    def test_a_wait_is_told_with_what_it_is_for(self) -> None:
        """Why it is not ready, for whom room is kept, who is unused."""
        held = {
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
            'held': [held],
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
        told = result.output.splitlines()
        self.assertEqual(len(told), 3, result.output)
        self.assertIn(
            '2 of 24 listed workers are unused: unreachable (w1, w2)',
            told[0],
        )
        self.assertIn('kept for others (b2)', told[1])
        self.assertIn('of 24 workers 22 usable, 3 empty, 2 with a', told[1])
        self.assertIn('is not ready for 6.0 s: held by a run that', told[2])
        self.assertIn(
            'attempt 2 unknown for 4.0 s, to be stopped at w1: '
            'no such run there, unreachable, not synced) and 2 more',
            told[2],
        )
        self.assertIn('1 later steps wait for it', told[2])

    def test_an_unknown_job_is_said_so(self) -> None:
        """With exit code 1."""
        with tempfile.TemporaryDirectory() as folder:
            result = CliRunner().invoke(app, ['trace', JOB, folder])
        self.assertEqual(result.exit_code, 1)
