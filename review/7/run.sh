#!/usr/bin/env bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
home=$(cd "$here/../.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
[ -d "$home/target/review-2" ] || exit 2
cd "$home"
timeout -k 5 110 java -cp "target/review-2:target/daemon/*" LongPrompt "$home" "$folder" \
  "$here/record.txt"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
