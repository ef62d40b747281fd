"""Fills a settings template as DEPLOY.md tells."""

import json
import re

GAP = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


def _lookup(scopes, path):
    if path == ".":
        return scopes[-1][0]
    if path == "@":
        return scopes[-1][1]
    for value, _ in reversed(scopes):
        for part in path.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                break
        else:
            return value
    return None


def _text(value, as_json):
    if as_json:
        return json.dumps(value, separators=(",", ":"))
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_text(one, False) for one in value)
    if isinstance(value, dict):
        return json.dumps(value, separators=(",", ":"))
    return str(value)


def fill(template, fields):
    return _fill(template, [(fields, None)])


def _fill(template, scopes):
    out, at = [], 0
    while gap := GAP.search(template, at):
        out.append(template[at:gap.start()])
        kind, path, as_json = gap.group(1), gap.group(2), bool(gap.group(3))
        at = gap.end()
        if not kind:
            out.append(_text(_lookup(scopes, path), as_json))
            continue
        close = "{{/" + path + "}}"
        end = template.index(close, at)
        inner, at = template[at:end], end + len(close)
        value = _lookup(scopes, path)
        if kind == "^":
            if value in (None, False, [], {}):
                out.append(_fill(inner, scopes))
        elif isinstance(value, list):
            out.extend(_fill(inner, scopes + [(one, number)]) for number, one in enumerate(value))
        elif isinstance(value, dict):
            out.extend(_fill(inner, scopes + [(one, key)]) for key, one in value.items())
        elif value not in (None, False):
            out.append(_fill(inner, scopes))
    out.append(template[at:])
    return "".join(out)
