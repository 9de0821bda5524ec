// Package coltsfootward defines the types that all packages of the overload
// control layer share: identifiers, immutable values and small interfaces.
//
// It contains no control logic and performs no input or output. The state
// machines are in coltsfootward/core, network and file access in
// coltsfootward/io.
package coltsfootward
