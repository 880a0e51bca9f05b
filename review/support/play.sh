#!/usr/bin/env bash
# Plays the case of a folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$1" || exit 2
if [ ! -f ../../target/medlarlb-gateway.cjs ] || [ ! -f ../../packages/medlarlb-fakes/lib/site/createMetadataStoreServer.js ]; then
    echo "run the build of deploy/system.toml and review/build.sh first"
    exit 2
fi
node case.mjs &
pid=$!
trap 'kill "$pid"' INT TERM
wait "$pid"
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
