// Package operator implements the operators' interface, a Connect service, on a node.
package operator
