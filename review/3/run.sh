#!/bin/sh
# Plays case 3. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0
# plays it without the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cherrywall ] || [ ! -x target/review/case-3 ]; then
	echo "build with deploy/service.toml and review/build.sh first" >&2
	exit 2
fi
timeout -k 1 118 target/review/case-3 review/3
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
