"""Compatibility of records between versions, and generated pages."""

import unittest
from pathlib import Path

from curranthill.jobs import job_from_document, job_to_document
from curranthill.settings import reference
from curranthill.workers.records import lease_from_document
from tests.support import make_job, members_on

ROOT = Path(__file__).parent.parent


class UpgradeTest(unittest.TestCase):
    """Rows and messages written by older or newer versions."""

    def test_a_row_with_unknown_fields_is_read(self) -> None:
        """A newer version has added a field."""
        job = make_job(members=members_on(('w', 2)), failed_on=('w',))
        self.assertEqual(
            job_from_document(job_to_document(job) | {'newer': 1}),
            job,
        )

    def test_a_row_without_newer_fields_takes_defaults(self) -> None:
        """An older version did not write them."""
        older = job_to_document(make_job())
        for name in ('checkpoint', 'preemptions', 'failed_on', 'members'):
            older.pop(name)
        self.assertEqual(job_from_document(older), make_job())

    def test_a_lease_report_may_have_more_fields(self) -> None:
        """Workers are operated and upgraded separately."""
        lease = lease_from_document(
            {
                'job': 'j',
                'attempt': 1,
                'slots': 2,
                'state': 'running',
                'epoch': 3,
                'holder': 'h',
                'newer': True,
            },
        )
        self.assertEqual(lease.used_slots, 0)


class ReferenceTest(unittest.TestCase):
    """The settings page is generated from the records."""

    def test_the_settings_page_matches_the_records(self) -> None:
        """Run ``python -m curranthill.settings.reference`` to update it."""
        page = ROOT / 'docs' / 'operations' / 'settings.md'
        self.assertEqual(page.read_text('utf-8'), reference.render_page())
