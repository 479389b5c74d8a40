#!/usr/bin/env bash
# Installs the required packages, builds everything and runs all tests. Failures of
# tests with the label known-red, which are listed in KNOWN-RED.txt, are printed
# but do not fail the script.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/install_packages.sh
scripts/build.sh build
ctest --test-dir build --output-on-failure --timeout 300 -j 4 --label-exclude known-red
ctest --test-dir build --output-on-failure --timeout 300 --label-regex known-red ||
  echo "KNOWN RED: a failure above is listed in KNOWN-RED.txt"
