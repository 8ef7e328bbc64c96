#!/bin/sh
# Builds the stand-in that the scripts of the cases start. The deploy file's build makes
# target/hibiscuslug.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/stand
