#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules of Node.js, which need no build; this checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-ins/*.js */case.js; do
	node --check "$module"
done
