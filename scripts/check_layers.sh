#!/usr/bin/env bash
# Fails if a layer includes a header of a higher layer. The layers from lowest to
# highest are state, coordination, protocol, transport and apps. The transport
# layer must not include headers of platform/ either.
set -euo pipefail
cd "$(dirname "$0")/.."

status=0
check() {
  local layer="$1" higher_layers="$2"
  if grep -rnE "#include \"($higher_layers)/" "src/$layer" --include='*.h' --include='*.cc'; then
    echo "src/$layer includes a header of a higher layer" >&2
    status=1
  fi
}
check state 'coordination|protocol|transport|apps'
check coordination 'protocol|transport|apps'
check protocol 'transport|apps'
check transport 'apps|platform'
exit $status
