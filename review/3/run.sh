#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
home=$(cd "$here/../.." && pwd)
if [ ! -f "$home/target/review/PromptCrash.class" ] ||
  [ ! -f "$home/target/daemon/cornelchute-platform-0.1.0.jar" ]; then
  echo "build first: the build of the deploy file, then review/build.sh"
  exit 2
fi
timeout 110 java -Xmx512m -XX:-UsePerfData -cp "$home/target/review" \
  PromptCrash "$home" "$here/record.txt" "${TROUBLE:-1}" dark
case $? in
  3) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
