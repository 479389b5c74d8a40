#!/usr/bin/env bash
# Checks layer dependencies and source formatting, and runs clang-tidy. Generated
# Cap'n Proto files are excluded.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/check_layers.sh
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v '\.capnp\.')
clang-format --dry-run --Werror "${sources[@]}"
run-clang-tidy -quiet -p build '^(?!.*\.capnp\.).*/(src|platform|tests|bench)/.*\.cc$' >build/tidy.log 2>&1 || {
  grep -E '(warning|error):' -A3 build/tidy.log | head -n 80
  exit 1
}
echo "format, layers and clang-tidy are clean"
