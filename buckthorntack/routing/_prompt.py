"""Parsing of the fields of a completion request that routing needs."""

from typing import NamedTuple
from typing import TypedDict

import expression
import msgspec

from buckthorntack.routing import _errors

#: Assumed length of a token.
BYTES_PER_TOKEN = 4


class _Body(TypedDict, total=False):
    model: str
    stream: bool
    max_tokens: int | None
    max_completion_tokens: int | None
    messages: msgspec.Raw
    prompt: msgspec.Raw


class Prompt(NamedTuple):
    """Fields of a completion request that the gateway uses."""

    model: str
    streamed: bool
    #: JSON of the prompt as the caller sent it; its prefixes are hashed.
    content: bytes
    #: Limit of generated tokens; None if the caller set none.
    max_tokens: int | None

    @property
    def tokens(self):
        """Estimated number of tokens in the prompt."""
        return max(1, len(self.content) // BYTES_PER_TOKEN)


_DECODER = msgspec.json.Decoder(_Body)


def read_prompt(body):
    """Parse the body of a chat or text completion request.

    :param body: the JSON as bytes.
    :returns: ``Result`` of the :class:`Prompt`.

    >>> read_prompt(b'{"model": "m", "prompt": "once"}').ok.content
    b'"once"'
    >>> read_prompt(b'{"model": 3}').error.detail
    'Expected `str`, got `int` - at `$.model`'
    """
    try:
        document = _DECODER.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return expression.Error(_errors.MalformedBodyError(str(error)))
    content = document.get("messages", document.get("prompt"))
    if "model" not in document or content is None:
        detail = "a model and messages or a prompt are needed"
        return expression.Error(_errors.MalformedBodyError(detail))
    limit = document.get("max_completion_tokens", document.get("max_tokens"))
    return expression.Ok(
        Prompt(
            document["model"],
            document.get("stream", False),
            bytes(content),
            limit,
        )
    )
