#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are Python, which needs no build: this only checks that
# an interpreter that is new enough is there and that the modules can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "Python 3.11 or newer is needed" >&2
    exit 1
}
python3 -B -c 'import stand_in_2.group, stand_in_2.relay, stand_in_2.store, stand_in_2.world'
