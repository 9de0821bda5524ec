#!/usr/bin/env bash
# Sets the services, organisations and first keys of a fresh deployment through
# the node named by COLTSFOOTWARD_NODE. Prints each organisation and its key.
set -euo pipefail
coltsfootctl service set results --mark 'GET /results high' >&2
coltsfootctl service set certifications --mark 'POST /filings critical unrepeatable' >&2
coltsfootctl service set run-logs --mark 'GET /logs normal' --mark 'GET /logs/archive low' >&2
coltsfootctl service set road-status --mark 'GET /sections high' >&2
coltsfootctl organisation set ministry --rate 300 --burst 600 >&2
coltsfootctl organisation set concession-north --rate 200 --burst 400 >&2
coltsfootctl organisation set concession-south --rate 150 --burst 300 >&2
coltsfootctl organisation set contractor-lopez --rate 60 --burst 120 >&2
coltsfootctl organisation set contractor-quispe --rate 60 --burst 120 >&2
coltsfootctl organisation set laboratory-sur --rate 30 --burst 60 >&2
coltsfootctl organisation set field-crews --rate 30 --burst 60 >&2
coltsfootctl organisation set auditors --rate 15 --burst 30 >&2
echo ministry "$(coltsfootctl key issue ministry-1 --organisation ministry)"
echo concession-north "$(coltsfootctl key issue concession-north-1 --organisation concession-north)"
echo concession-south "$(coltsfootctl key issue concession-south-1 --organisation concession-south)"
echo contractor-lopez "$(coltsfootctl key issue contractor-lopez-1 --organisation contractor-lopez)"
echo contractor-quispe "$(coltsfootctl key issue contractor-quispe-1 --organisation contractor-quispe)"
echo laboratory-sur "$(coltsfootctl key issue laboratory-sur-1 --organisation laboratory-sur)"
echo field-crews "$(coltsfootctl key issue field-crews-1 --organisation field-crews)"
echo auditors "$(coltsfootctl key issue auditors-1 --organisation auditors)"
