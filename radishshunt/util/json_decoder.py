"""Decoding of JSON that other processes have written."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import msgspec

from radishshunt.errors import ProtocolError

T = TypeVar("T")

# msgspec reports values that are nested too deep with RecursionError, which is no ValueError.
_DECODING_ERRORS = (ValueError, RecursionError)


class JsonDecoder(Generic[T]):
    """Decodes JSON texts of one model.

    All texts that other processes have written are decoded here, so that whatever is wrong with
    one is reported by the same exception.

    :param model: Type of the values, as msgspec describes it.
    """

    def __init__(self, model: type[T]) -> None:
        self._decoder = msgspec.json.Decoder(model)

    def decode(self, data: bytes) -> T:
        """Decode a text.

        :raises ProtocolError: If it is no JSON, is nested too deep or does not fit the model.
        """
        try:
            return self._decoder.decode(data)
        except _DECODING_ERRORS as exc:
            raise ProtocolError(str(exc)) from exc


def convert(value: Any, model: type[T]) -> T:
    """Convert a part of a decoded text to a model; numbers may be given as text.

    :raises ProtocolError: If it does not fit the model.
    """
    try:
        return msgspec.convert(value, model, strict=False)
    except _DECODING_ERRORS as exc:
        raise ProtocolError(str(exc)) from exc
