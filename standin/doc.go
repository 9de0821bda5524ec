// Package standin is the root of the stand-ins for the systems that coltsfootward works
// with: the platform and the backend servers. They are for tests, examples and load
// experiments only.
package standin
