#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption, and must exit with 0.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
export TROUBLE="${TROUBLE:-1}"
exec sh "$here/../case.sh" many-tasks "$here/record.txt"
