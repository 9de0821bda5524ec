// Package io is the root of the node's faces: each package below it speaks to
// one kind of peer. They decide nothing; decisions live in coltsfootward/core.
package io
