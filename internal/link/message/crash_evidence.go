package message

import "time"

// SuspectTime is how long after the beginning of its response a request is the first to be suspected if its endpoint
// crashes.
const SuspectTime = time.Second

// CrashEvidence is what a gateway or entry reports of requests that crash endpoints.
type CrashEvidence struct {
	// Crashes are the crashes of endpoints that the gateway saw, new ones and, to a control host that it has
	// just subscribed to, those of the last minutes.
	Crashes []Crash `cbor:"1,keyasint,omitempty"`
	// Completions sum up the requests that completed lately, while keys are watched.
	Completions []Completions `cbor:"2,keyasint,omitempty"`
	// Refused are the held keys for which the gateway refused requests since the last report.
	Refused []uint64 `cbor:"3,keyasint,omitempty"`
}

// IsEmpty reports whether there is nothing to report.
func (e CrashEvidence) IsEmpty() bool {
	return len(e.Crashes) == 0 && len(e.Completions) == 0 && len(e.Refused) == 0
}

// Holds says which requests a gateway or entry must hold back.
type Holds struct {
	Held []HeldKey `cbor:"1,keyasint,omitempty"`
	// Watching is set if the watched keys have changed, and in the first update.
	Watching *Watching `cbor:"2,keyasint,omitempty"`
}

// Watching lists the keys of which a gateway must report completed requests.
type Watching struct {
	Keys []uint64 `cbor:"1,keyasint,omitempty"`
}

// HeldKey is a key of requests that gateways refuse.
type HeldKey struct {
	Key uint64 `cbor:"1,keyasint"`
	// For is the time until a request with the key is tried again.
	For time.Duration `cbor:"2,keyasint,omitempty"`
	// Trial is the number of a trial: the gateway may send one request with the key. 0 is none.
	Trial uint64 `cbor:"3,keyasint,omitempty"`
}

// Crash is the end of an endpoint's process, seen by the requests that it broke off.
type Crash struct {
	Endpoint string `cbor:"1,keyasint"`
	// StartedMs is the start time of the endpoint's process, in milliseconds since
	// the Unix epoch.
	StartedMs int64 `cbor:"2,keyasint"`
	// Age is the time since the connections broke.
	Age time.Duration `cbor:"4,keyasint"`
	// Scope is the service and the model of the endpoint.
	Scope string `cbor:"5,keyasint"`
	// Requests is the number of requests that were broken off before their response, or within SuspectTime of its
	// beginning, and Ongoing the number of those broken off later.
	Requests int `cbor:"6,keyasint"`
	Ongoing  int `cbor:"9,keyasint,omitempty"`
	// Completed is the number of requests of the scope that the gateway saw complete lately.
	Completed int `cbor:"7,keyasint,omitempty"`
	// Suspects are the keys of the requests that were broken off.
	Suspects []Suspect `cbor:"8,keyasint,omitempty"`
}

// Suspect is a key of requests that were broken off by a crash.
type Suspect struct {
	Key uint64 `cbor:"1,keyasint"`
	// Whole reports that the key stands for all that the request consists of, not for a part of its prompt.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// SentAge is the time since the latest of the requests was sent.
	SentAge time.Duration `cbor:"3,keyasint"`
	// Completed is the number of requests with the key that the gateway saw complete lately, and
	// CompletedAge the time since the last one. It is meaningless if Completed is 0.
	Completed    int           `cbor:"4,keyasint,omitempty"`
	CompletedAge time.Duration `cbor:"5,keyasint,omitempty"`
	// Lasted is how long the longest of their responses had gone on, and Late reports that all had for more than
	// SuspectTime.
	Lasted time.Duration `cbor:"6,keyasint,omitempty"`
	Late   bool          `cbor:"7,keyasint,omitempty"`
}

// Completions sum up the requests of a scope that a gateway saw complete lately.
type Completions struct {
	Scope string `cbor:"1,keyasint"`
	Total int    `cbor:"2,keyasint"`
	// Watched are those with watched keys.
	Watched []CompletedKey `cbor:"3,keyasint,omitempty"`
}

// CompletedKey counts the requests with a key that a gateway saw complete lately.
type CompletedKey struct {
	Key   uint64 `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
	// Age is the time since the last one. It is meaningless if Count is 0.
	Age time.Duration `cbor:"3,keyasint"`
	// Lasted is how long a response with the key had gone on, LastedAge ago, the longest since the last report. It is 0
	// if there was none.
	Lasted    time.Duration `cbor:"4,keyasint,omitempty"`
	LastedAge time.Duration `cbor:"5,keyasint,omitempty"`
}
