"""The command lines."""

__all__ = ()
