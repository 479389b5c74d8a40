#!/usr/bin/env bash
# Fails when a layer includes a header of a layer above it.
# Order from the lowest layer: state, coordination, protocol, transport, apps.
set -euo pipefail
cd "$(dirname "$0")/.."

status=0
check() {
  local layer="$1" above="$2"
  if grep -rnE "#include \"($above)/" "src/$layer" --include='*.h' --include='*.cc'; then
    echo "src/$layer includes a header of a higher layer" >&2
    status=1
  fi
}
check state 'coordination|protocol|transport|apps'
check coordination 'protocol|transport|apps'
check protocol 'transport|apps'
check transport 'apps|platform'
exit $status
