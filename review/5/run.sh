#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the limit.
cd "$(dirname "$0")/../.." || exit 2
exec java -Dsun.net.httpserver.maxReqHeaderSize=600000 -cp target/review LargeHeaders review/5
