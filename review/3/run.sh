#!/usr/bin/env bash
# Bursts beside clients that pipeline. TROUBLE=0 leaves out the bursts.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/review-case ] && [ -x target/release/tarragonpulley-entry ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review/review-case closing "$here"
