#!/usr/bin/env bash
# Installs the packages, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh
scripts/build.sh build
ctest --test-dir build --output-on-failure --timeout 300 -j 4
