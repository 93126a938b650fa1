"""The tests of curranthill."""

from loguru import logger

# Log lines would drown the results; tests that read them add a sink.
logger.remove()
