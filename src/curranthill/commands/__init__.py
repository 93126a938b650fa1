"""Command-line interfaces of the programs."""

__all__ = ()
