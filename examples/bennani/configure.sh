#!/usr/bin/env bash
# Sets the services, organisations and first keys of a fresh deployment through
# the node named by COLTSFOOTWARD_NODE. Prints each organisation and its key.
set -euo pipefail
coltsfootctl service set archives --mark 'GET /bulletins low' >&2
coltsfootctl service set subscriptions --mark 'POST /orders critical unrepeatable' >&2
coltsfootctl service set publications --mark 'POST / high unrepeatable' >&2
coltsfootctl service set quotations --mark 'GET /live high' >&2
coltsfootctl organisation set cooperative-union --rate 400 --burst 800 >&2
coltsfootctl organisation set port-importers --rate 300 --burst 600 >&2
coltsfootctl organisation set atlas-traders --rate 120 --burst 240 >&2
coltsfootctl organisation set rif-brokers --rate 80 --burst 160 >&2
coltsfootctl organisation set souss-cooperative --rate 40 --burst 80 >&2
coltsfootctl organisation set gharb-cooperative --rate 40 --burst 80 >&2
coltsfootctl organisation set tadla-growers --rate 20 --burst 40 >&2
coltsfootctl organisation set oriental-growers --rate 20 --burst 40 >&2
echo cooperative-union "$(coltsfootctl key issue cooperative-union-1 --organisation cooperative-union)"
echo port-importers "$(coltsfootctl key issue port-importers-1 --organisation port-importers)"
echo atlas-traders "$(coltsfootctl key issue atlas-traders-1 --organisation atlas-traders)"
echo rif-brokers "$(coltsfootctl key issue rif-brokers-1 --organisation rif-brokers)"
echo souss-cooperative "$(coltsfootctl key issue souss-cooperative-1 --organisation souss-cooperative)"
echo gharb-cooperative "$(coltsfootctl key issue gharb-cooperative-1 --organisation gharb-cooperative)"
echo tadla-growers "$(coltsfootctl key issue tadla-growers-1 --organisation tadla-growers)"
echo oriental-growers "$(coltsfootctl key issue oriental-growers-1 --organisation oriental-growers)"
