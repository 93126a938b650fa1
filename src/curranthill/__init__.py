"""A scheduler for multi-accelerator jobs under workspace guarantees."""

__version__ = '0.1.0'

__all__ = ('__version__',)
