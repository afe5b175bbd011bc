#!/usr/bin/env bash
# Runs one case: case.sh CASE RECORD TROUBLE. Ends all processes that the case started.
set -u
cd "$(dirname "$0")/.." || exit 2
for program in target/release/tanagerhollow target/review/stand_in; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: run the build of deploy/system.toml and review/build.sh first"
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
end() {
    if [ -f "$folder/ids" ]; then
        while read -r id; do
            case "$(readlink "/proc/$id/exe" 2>/dev/null)" in
                */target/release/tanagerhollow*) kill -KILL "$id" 2>/dev/null ;;
            esac
        done < "$folder/ids"
    fi
    rm -rf "$folder"
}
trap end EXIT
TROUBLE="$3" timeout 115 target/review/stand_in "$1" "$folder" "$2"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
