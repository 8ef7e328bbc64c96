#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10, after the build of the deploy
# file has put the project's own program into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/drive ./review/drive
