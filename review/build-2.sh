#!/usr/bin/env bash
# Builds the programs of the cases 4 to 8: each starts its stand-ins of the state service, the cloud, the workers and the
# users, and the controllers as processes of their own.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 4 5 6 7 8; do
  if [ -d "review/$n" ]; then
    go build -tags review -o "target/review-2/case$n" "./review/$n"
  fi
done
