package coltsfootward

import "strconv"

// InstanceID names one node and the backend server beside it. It stays the
// same over restarts; Incarnation tells the runs apart.
type InstanceID string

// FailureDomain names a set of instances that can be cut off together.
type FailureDomain string

// OrganisationName names a tenant.
type OrganisationName string

// ServiceName names a service that backend servers announce.
type ServiceName string

// RequestID names one caller's request over the whole call chain.
type RequestID string

// Incarnation orders the runs of one instance; a later run has a higher one.
type Incarnation uint64

// Revision counts accepted changes of the configuration; zero is the empty one.
type Revision uint64

// String returns the revision in decimal.
func (r Revision) String() string {
	return strconv.FormatUint(uint64(r), 10)
}

// Instance says where a node runs and how its peers reach it.
type Instance struct {
	// ID names the instance.
	ID InstanceID `msgpack:"id" json:"id"`
	// Domain is the failure domain it runs in.
	Domain FailureDomain `msgpack:"domain" json:"domain"`
	// Address is the IP number and port of its peer listener.
	Address string `msgpack:"address" json:"address"`
	// OperatorAddress is the IP number and port of its operators' listener.
	OperatorAddress string `msgpack:"operator_address" json:"operator_address"`
	// Incarnation tells this run of the instance from earlier ones.
	Incarnation Incarnation `msgpack:"incarnation" json:"incarnation"`
}
