#!/usr/bin/env bash
# Builds what the scripts of the cases from 11 on start besides the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/trial ./review/trial
