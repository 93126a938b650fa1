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

    def test_an_unknown_job_is_said_so(self) -> None:
        """With exit code 1."""
        with tempfile.TemporaryDirectory() as folder:
            result = CliRunner().invoke(app, ['trace', JOB, folder])
        self.assertEqual(result.exit_code, 1)
