#!/usr/bin/env python3
"""Checks that the platform's wire names are used only in platform/ and deploy/, and what platform/ includes.

Only the adapter in platform/ knows the platform's headers, calls and keys; src/, include/ and apps/ use the project's
own types. platform/ may include the ports, the io layer and value types of the library, but no decision logic and
nothing of src/node. Prints each violation and exits with 1 if there is one.
"""
import pathlib
import re
import subprocess
import sys

WIRE = re.compile(
    r"x-oleanderfield-|/v1/kv-|/v1/readyz|/v1/report\b|op/config|\bservers/\"|"
    r"\b(path_prefix|at_rev|expect_rev|kv_capacity|api_keys|rate_per_s|route_kind|goal_ms|zone_prices|window_id|"
    r"lease_id|cold_left_ms)\b",
    re.IGNORECASE,
)
SEARCHED = ("src/", "include/", "apps/")
EXCLUDED = ("src/gen/", "apps/standins/")
MAY_INCLUDE = re.compile(
    r'"(absl/|platform/|ports/|io/|entry/entry_node\.h|entry/settings\.h|oleander/'
    r'(types|store|result_code|serving_config|listed_servers)\.h)'
)


def tracked(*prefixes):
    names = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"], capture_output=True, text=True, check=True)
    for name in names.stdout.splitlines():
        if name.startswith(prefixes) and name.endswith((".h", ".cc")) and pathlib.Path(name).exists():
            yield name


def wire_names_outside():
    for name in tracked(*SEARCHED):
        if name.startswith(EXCLUDED):
            continue
        for number, line in enumerate(pathlib.Path(name).read_text().splitlines(), 1):
            if found := WIRE.search(line):
                yield f"{name}:{number}: \"{found.group(0)}\" is a wire name of the platform; use it only in platform/"


def forbidden_includes():
    for name in tracked("platform/"):
        for number, line in enumerate(pathlib.Path(name).read_text().splitlines(), 1):
            if line.startswith('#include "') and not MAY_INCLUDE.search(line):
                yield f"{name}:{number}: {line} is not allowed in platform/, which must not depend on decision logic"


def main():
    findings = [*wire_names_outside(), *forbidden_includes()]
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
