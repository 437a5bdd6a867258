#!/bin/sh
# Builds the stand-ins of the scripts under review/, into target/.
set -eu
cd "$(dirname "$0")/.."
exec go build -o target/review-lab ./review/_lab
