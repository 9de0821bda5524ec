// Package coltsfootward holds the vocabulary of the overload control layer:
// identifiers, immutable values and the narrow interfaces that its parts meet at.
//
// It decides nothing and performs no input or output. Decisions live in
// coltsfootward/core, the programs' network faces in coltsfootward/io.
package coltsfootward
