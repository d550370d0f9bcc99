"""Line numbers of the fields of a YAML document."""

from __future__ import annotations

import yaml


def find_line(*, text: str, path: str) -> int:
    """Returns the line of the field at a path such as ``services.2.slots``, counted from 1.

    A field that is missing has the line of the item that should contain it. For text that is not valid YAML it is the
    line at which the parser stopped.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        return error.problem_mark.line + 1 if error.problem_mark is not None else 1
    except (yaml.YAMLError, RecursionError):
        return 1
    line = 1
    for part in path.split(".") if path else ():
        child = _find_child(node, part)
        if child is None:
            break
        line, node = child
    return line


def _find_child(node: yaml.Node | None, part: str) -> tuple[int, yaml.Node] | None:
    match node:
        case yaml.MappingNode():
            for key, value in node.value:
                if isinstance(key, yaml.ScalarNode) and key.value == part:
                    return key.start_mark.line + 1, value
        case yaml.SequenceNode() if part.isdecimal() and int(part) < len(node.value):
            item = node.value[int(part)]
            return item.start_mark.line + 1, item
    return None


__all__ = ["find_line"]
