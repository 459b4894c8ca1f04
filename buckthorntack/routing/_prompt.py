"""What routing needs to know of a completion request's body."""

from typing import NamedTuple
from typing import TypedDict

import expression
import msgspec

from buckthorntack.routing import _errors

BYTES_PER_TOKEN = 4


class _Body(TypedDict, total=False):
    model: str
    stream: bool
    max_tokens: int | None
    max_completion_tokens: int | None
    messages: msgspec.Raw
    prompt: msgspec.Raw


class Prompt(NamedTuple):
    """Fields of a completion request that the gateway looks at."""

    model: str
    streamed: bool
    #: Bytes of the prompt as the caller wrote them; prefixes are compared.
    content: bytes
    #: Most tokens to be generated, or None if the caller left it open.
    max_tokens: int | None

    @property
    def tokens(self):
        """Estimated length of the prompt in tokens."""
        return max(1, len(self.content) // BYTES_PER_TOKEN)


_DECODER = msgspec.json.Decoder(_Body)


def read_prompt(body):
    """Read a chat or text completion request.

    :param body: its bytes.
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
