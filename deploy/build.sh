#!/bin/sh
# Puts the libraries and the packages of this workspace into target/deps.
set -eu
stamp=target/deps/.requirements
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
for package in packages/endiveworks/src/endiveworks \
    packages/endiveworks-daemon/src/endiveworks_daemon platform/endiveworks_site; do
    rm -rf "target/deps/$(basename "$package")"
    cp -R "$package" target/deps/
    # Processes can't write here, and would compile everything again at each start.
    python3 -m compileall -q "target/deps/$(basename "$package")"
done
