#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into target/review. Needs no network once
# the deployment was built: nothing but the standard library is used.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review
for main in review/[1-3]/main.go; do
	n=$(basename "$(dirname "$main")")
	go build -tags review -o "target/review/case-$n" "./review/$n" || exit 2
done
