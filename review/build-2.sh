#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are plain JavaScript in stand-ins-2 and import nothing but Node.js itself, and no
# case starts one of the project's own: nothing has to be compiled, and the syntax of each file is checked.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.js 6/*.js 7/*.js 8/*.js 9/*.js 10/*.js; do
	[ ! -e "$file" ] || node --check "$file"
done
