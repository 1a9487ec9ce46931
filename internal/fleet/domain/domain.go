// Package domain defines the identifiers of failure domains and fabric domains.
package domain

// Failure is the name of a failure domain, a group of hosts that may be lost together.
type Failure string

// Fabric is the name of a fabric domain, a group of hosts connected by the fast
// accelerator fabric. A replica whose hosts are not all in one fabric domain is slow.
type Fabric string
