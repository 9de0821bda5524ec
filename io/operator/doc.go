// Package operator serves the operators' interface with Connect.
package operator
