"""YAML loader that rejects duplicate fields."""

from __future__ import annotations

from typing import Any

import yaml


class StrictLoader(yaml.SafeLoader):
    """Safe loader that raises an error on a duplicate field, where PyYAML would keep the last value."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Constructs a mapping.

        Raises:
            yaml.constructor.ConstructorError: A field occurs twice.
        """
        names = set()
        for key, _ in node.value:
            name = key.value if isinstance(key, yaml.ScalarNode) else None
            if name is not None and name != "<<" and name in names:
                raise yaml.constructor.ConstructorError(None, None, f"field {name!r} again", key.start_mark)
            names.add(name)
        return super().construct_mapping(node, deep=deep)


__all__ = ["StrictLoader"]
