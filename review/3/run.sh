#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
standin=$root/target/review/standin
[ -x "$standin" ] || { echo "run review/build.sh first"; exit 2; }
exec "$standin" slow "$here" "$root"
