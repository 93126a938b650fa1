"""Client of the platform's placement advisor.

The advisor is a service that decides which workers may run a step.
"""

from typing import Final

import msgspec

from curranthill.dispatch import Advice, AdvisorError
from curranthill.platform.decoding import BoundedFloat, decode_fields
from curranthill.platform.http_client import (
    HttpClient,
    RequestNotSentError,
    ResponseLostError,
)
from curranthill.storage.rows import MalformedRecordError

#: The timeout of a request, in seconds. The advisor may have a few requests of
#: other hosts queued before this one.
ADVICE_TIMEOUT_S: Final = 3.0

_OK: Final = 200


class AdviceFields(msgspec.Struct):
    """The workers that may run a step, each with its ticket."""

    good: list[tuple[str, str]]
    validity_ms: BoundedFloat


class PlatformAdvisor:
    """Requests advice over HTTP."""

    def __init__(self, *, client: HttpClient, address: str) -> None:
        """Initialize with the address of the advisor."""
        self._client = client
        self._address = address

    async def ask(self, step_name: str, workers: tuple[str, ...]) -> Advice:
        """Return tickets for those of the given workers that may run a step.

        :raises AdvisorError: if there is no valid response.
        """
        try:
            response = await self._client.call(
                'POST',
                f'http://{self._address}/curranthill/advise',
                timeout_s=ADVICE_TIMEOUT_S,
                fields={'step': step_name, 'workers': list(workers)},
                body_timeout_s=ADVICE_TIMEOUT_S,
            )
        except (RequestNotSentError, ResponseLostError) as error:
            raise self._error(str(error)) from error
        if response.status != _OK:
            raise self._error(f'status {response.status}')
        try:
            fields = decode_fields(response.body, AdviceFields, step='advise')
        except MalformedRecordError as error:
            raise self._error(error.message) from error
        return Advice(
            tickets=dict(fields.good),
            validity_s=fields.validity_ms / 1000,
        )

    def _error(self, reason: str) -> AdvisorError:
        return AdvisorError(
            f'No valid response from the advisor: {reason}.',
            step='advise',
            peer=self._address,
        )


__all__ = ('PlatformAdvisor',)
