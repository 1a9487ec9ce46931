package formation

// Order is one instruction to one engine. Only this package implements it.
type Order interface {
	// Host is the ID of the engine that the order is for.
	Host() string
	order()
}

// Place names a replica at one epoch.
type Place struct {
	Replica string
	Epoch   uint64
}

// Join makes an engine a member of a replica.
type Join struct {
	To string
	Place
	Model string
	// Members are the IDs of all members; the first is the head.
	Members []string
}

// Open lets a head serve.
type Open struct {
	To string
	Place
}

// Close lets a head finish what it has and take nothing new.
type Close struct {
	To string
	Place
}

// Leave ends an engine's membership at once.
type Leave struct {
	To string
	Place
}

// Stage loads a model onto an engine's host.
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

// Answer is what became of an order.
type Answer uint8

// The answers to an order.
const (
	// AnswerNone is an order without an answer: it may be carried out, at once or later.
	AnswerNone Answer = iota
	// AnswerDone is an order that began or whose state holds already.
	AnswerDone
	// AnswerUnfit is an order that does not fit the engine's state.
	AnswerUnfit
	// AnswerStranger is an address at which another engine answers.
	AnswerStranger
)
