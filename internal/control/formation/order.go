package formation

// Order is an instruction to one engine. Only this package implements it.
type Order interface {
	// Host returns the ID of the engine that the order is for.
	Host() string
	order()
}

// ReplicaRef identifies a replica at one epoch.
type ReplicaRef struct {
	Replica string
	Epoch   uint64
}

// Join makes an engine a member of a replica.
type Join struct {
	To string
	ReplicaRef
	Model string
	// Members are the IDs of all members. The first one is the head.
	Members []string
}

// Open makes a head serve requests.
type Open struct {
	To string
	ReplicaRef
}

// Close makes a head finish its running requests and accept no new ones.
type Close struct {
	To string
	ReplicaRef
}

// Leave ends an engine's membership at once.
type Leave struct {
	To string
	ReplicaRef
}

// Stage loads a model from the weight store onto an engine's host.
type Stage struct {
	To    string
	Model string
}

// Host implements Order.
func (o Join) Host() string { return o.To }

// Host implements Order.
func (o Open) Host() string { return o.To }

// Host implements Order.
func (o Close) Host() string { return o.To }

// Host implements Order.
func (o Leave) Host() string { return o.To }

// Host implements Order.
func (o Stage) Host() string { return o.To }

func (Join) order() {}

func (Open) order() {}

func (Close) order() {}

func (Leave) order() {}

func (Stage) order() {}

// Answer is an engine's answer to an order.
type Answer uint8

// The answers to an order.
const (
	// AnswerNone means that no answer came. The order may be carried out now, later or not at
	// all.
	AnswerNone Answer = iota
	// AnswerDone means that the order is being carried out, or that its state is already reached.
	AnswerDone
	// AnswerConflict means that the order conflicts with the engine's state.
	AnswerConflict
	// AnswerWrongEngine means that another engine answered at the address.
	AnswerWrongEngine
)
