#!/bin/sh
# Case 8, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/bin/review2" ] && [ -x "$root/bin/basaltcross" ] || { echo "not built: see review/build-2.sh"; exit 2; }
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; else trouble=true; fi
exec "$root/bin/review2" -case descriptors -root "$root" -record "$here/record.txt" -trouble="$trouble"
