#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x bin/tealledge ] || [ ! -x review/bin/harness ]; then
	echo "run the build of the deploy file and review/build.sh first" >&2
	exit 2
fi
exec review/bin/harness big-bodies . "$here/record.txt"
