package coltsfootward

import "strconv"

// InstanceID identifies one node and the backend server beside it. It stays the
// same over restarts; Incarnation distinguishes the runs.
type InstanceID string

// FailureDomain names a set of instances that can fail or become unreachable
// together.
type FailureDomain string

// OrganisationName names a tenant.
type OrganisationName string

// ServiceName names a service that backend servers announce.
type ServiceName string

// RequestID identifies a caller's request throughout its call chain.
type RequestID string

// Incarnation orders the runs of one instance; a later run has a higher
// incarnation.
type Incarnation uint64

// Revision is the number of accepted configuration changes. Revision zero is the
// empty configuration.
type Revision uint64

// String returns the revision in decimal.
func (r Revision) String() string {
	return strconv.FormatUint(uint64(r), 10)
}

// Instance describes where a node runs and how its peers reach it.
type Instance struct {
	ID InstanceID `msgpack:"id" json:"id"`
	// Domain is the failure domain that the instance runs in.
	Domain FailureDomain `msgpack:"domain" json:"domain"`
	// Address is the IP address and port of the node's peer listener.
	Address string `msgpack:"address" json:"address"`
	// OperatorAddress is the IP address and port of the node's listener for operators.
	OperatorAddress string `msgpack:"operator_address" json:"operator_address"`
	// Incarnation distinguishes this run of the instance from earlier ones.
	Incarnation Incarnation `msgpack:"incarnation" json:"incarnation"`
}
