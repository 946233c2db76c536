#!/bin/sh
# Plays case 7, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/tealledge ] || [ ! -x review/bin/stand2 ]; then
	echo "not built" >&2
	exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/bin/stand2 -case memory -trouble=$trouble -record review/7/record.txt
