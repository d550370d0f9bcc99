"""YAML loader that refuses repeated fields."""

from __future__ import annotations

from typing import Any

import yaml


class StrictLoader(yaml.SafeLoader):
    """Loads plain data; a field that stands twice in a mapping is an error instead of the last one."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Builds a mapping.

        Raises:
            yaml.constructor.ConstructorError: A field stands twice.
        """
        seen = set()
        for key, _ in node.value:
            name = key.value if isinstance(key, yaml.ScalarNode) else None
            if name is not None and name != "<<" and name in seen:
                raise yaml.constructor.ConstructorError(None, None, f"field {name!r} again", key.start_mark)
            seen.add(name)
        return super().construct_mapping(node, deep=deep)


__all__ = ["StrictLoader"]
