"""Pydantic adapters that are built on first use."""

from __future__ import annotations

from threading import Lock
from typing import TYPE_CHECKING, Annotated, Any, Generic, TypeVar

if TYPE_CHECKING:
    from pydantic import TypeAdapter

T = TypeVar("T")


class LazyAdapter(Generic[T]):
    """Adapter of a type, built by the first call of `get`.

    The import of pydantic and the adapters of all commands take a quarter of the start of a control node, which
    should hear its peers before it has to decode anything.

    Attributes:
        kind: Type that the adapter encodes and decodes.
        discriminator: Field that tells the members of a union apart; empty for other types.
        lock: Held while the adapter is built, so that two threads do not both build it.
        adapter: The adapter; None before the first use.
    """

    __slots__ = ("adapter", "discriminator", "kind", "lock")

    def __init__(self, kind: Any, *, discriminator: str = "") -> None:
        self.kind = kind
        self.discriminator = discriminator
        self.lock = Lock()
        self.adapter: TypeAdapter[T] | None = None

    def get(self) -> TypeAdapter[T]:
        """Returns the adapter."""
        if self.adapter is None:
            with self.lock:
                if self.adapter is None:
                    self.adapter = self._build()
        return self.adapter

    def _build(self) -> TypeAdapter[T]:
        from pydantic import Field, TypeAdapter  # noqa: PLC0415

        kind: Any = self.kind
        if self.discriminator:
            kind = Annotated[kind, Field(discriminator=self.discriminator)]
        return TypeAdapter(kind)


__all__ = ["LazyAdapter"]
