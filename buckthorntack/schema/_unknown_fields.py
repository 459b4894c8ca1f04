"""Fields of later versions, cut off before a message is decoded."""

import functools
import types
import typing

#: Fields at the end of one message that a later version may have added.
MAX_UNKNOWN_FIELDS = 32


def is_message_type(a_type):
    """Whether a type is a ``NamedTuple``.

    :param a_type: the type.
    """
    return isinstance(a_type, type) and hasattr(a_type, "_fields")


@functools.cache
def make_cutter(a_type):
    """Return a function that cuts off fields that a type does not have.

    What it is told and returns is made of lists and plain values.  It leaves
    all else as it is, for a decoder to check.

    :param a_type: a ``NamedTuple``, or the type of a field.
    :returns: the function; None if there is nothing to cut.
    """
    if is_message_type(a_type):
        hints = typing.get_type_hints(a_type)
        inner = [make_cutter(hints[name]) for name in a_type._fields]
        return functools.partial(_cut_message, inner)
    origin = typing.get_origin(a_type)
    if origin in (typing.Union, types.UnionType):
        cutters = [make_cutter(one) for one in typing.get_args(a_type)]
        return next(filter(None, cutters), None)
    if origin is list:
        (item_type,) = typing.get_args(a_type)
        cut_item = make_cutter(item_type)
        if cut_item is not None:
            return functools.partial(_cut_items, cut_item)
    return None


def _cut_message(inner, value):
    if not isinstance(value, list):
        return value
    if len(value) > len(inner) + MAX_UNKNOWN_FIELDS:
        return value
    return [
        field if cut is None else cut(field)
        for cut, field in zip(inner, value, strict=False)
    ]


def _cut_items(cut_item, value):
    if not isinstance(value, list):
        return value
    return [cut_item(item) for item in value]
