#!/bin/sh
# The stand-ins of cases 6 to 10 are plain JavaScript without dependencies: nothing is compiled, their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.js 6/*.js 7/*.js 8/*.js 9/*.js 10/*.js; do
	[ ! -e "$file" ] || node --check "$file"
done
