#!/usr/bin/env bash
# Runs one case of the second review: case-2.sh CASE RECORD TROUBLE. Ends all processes that the case started.
set -u
cd "$(dirname "$0")/.." || exit 2
for program in target/release/tanagerhollow target/review/stand_in_2; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh first"
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
ended() {
    if [ -f "$folder/ids" ]; then
        while read -r id; do
            # Only a process that still is the program that the case started.
            case "$(readlink "/proc/$id/exe" 2> /dev/null)" in
                */target/release/tanagerhollow*) kill -KILL "$id" 2> /dev/null ;;
            esac
        done < "$folder/ids"
    fi
    rm -rf "$folder"
}
trap ended EXIT
TROUBLE="$3" timeout -k 2 115 target/review/stand_in_2 "$1" "$folder" "$2"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
