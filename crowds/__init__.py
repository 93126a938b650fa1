"""Tests with crowds of clients that keep no limits.

They run apart from the other tests, one at a time: ``make crowds``.
"""
