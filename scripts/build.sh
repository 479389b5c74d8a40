#!/usr/bin/env bash
# Configures and builds all targets. Usage: scripts/build.sh [BUILD_DIR] [CMAKE_ARGS...]
set -euo pipefail
cd "$(dirname "$0")/.."

build_dir="${1:-build}"
shift || true
cmake -S . -B "$build_dir" -G Ninja "$@" >/dev/null
cmake --build "$build_dir"
