// Package domain names the two kinds of domain a host belongs to.
package domain

// Failure names a failure domain: hosts that may be lost together.
type Failure string

// Fabric names a fabric domain: hosts joined by the fast accelerator fabric.
// A replica is slow unless all its hosts share one.
type Fabric string
