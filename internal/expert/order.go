package expert

// Number orders the coordinator's orders: by the ballot of its incarnation,
// then by round. A gate ignores an order older than one it has seen, so that
// late and repeated messages do no harm.
type Number struct {
	Ballot uint64
	Round  uint64
}

// Before tells whether a number is older than another.
func (number Number) Before(other Number) bool {
	if number.Ballot != other.Ballot {
		return number.Ballot < other.Ballot
	}
	return number.Round < other.Round
}

// Switch is the step from which on an epoch's map is in force.
type Switch struct {
	Epoch uint64
	Step  uint64
}

// Order is what a coordinator tells a gate: Query, Prepare, Hold, Activate,
// Release or Join.
type Order interface {
	sealedOrder()
	number() Number
}

// Query asks for the status and keeps older coordinators from being obeyed.
type Query struct{ Number Number }

// Prepare lets the rank load the experts of an epoch's map.
type Prepare struct {
	Number Number
	Epoch  uint64
}

// Hold keeps the rank from beginning a step until it hears more.
type Hold struct {
	Number Number
	Switch Switch
}

// Activate puts a map in force at the step that is held.
type Activate struct {
	Number Number
	Switch Switch
}

// Release ends a hold without a new map.
type Release struct{ Number Number }

// Join lets a restarted rank run again, from a step on and with the group's
// present map. Next is the switch that is agreed but not yet reached. Life is
// that of the rank's status: a late copy must not admit a later life of the
// rank at a step that the group has left behind.
type Join struct {
	Number Number
	Life   uint64
	Now    Switch
	Next   Switch
}

func (Query) sealedOrder()    {}
func (Prepare) sealedOrder()  {}
func (Hold) sealedOrder()     {}
func (Activate) sealedOrder() {}
func (Release) sealedOrder()  {}
func (Join) sealedOrder()     {}

func (order Query) number() Number    { return order.Number }
func (order Prepare) number() Number  { return order.Number }
func (order Hold) number() Number     { return order.Number }
func (order Activate) number() Number { return order.Number }
func (order Release) number() Number  { return order.Number }
func (order Join) number() Number     { return order.Number }

// Status is a gate's answer to every order.
type Status struct {
	Rank int
	// Life changes when the rank is restarted and has forgotten its orders.
	Life uint64
	// Promised is the newest number seen.
	Promised Number
	// Joined tells whether the rank runs steps.
	Joined bool
	// Epoch is the map in force, Step the next step to begin.
	Epoch uint64
	Step  uint64
	// Loaded lists the epochs whose experts the rank holds.
	Loaded []uint64
	// Held is the step that the rank does not begin; zero when none.
	Held Switch
	// Next is the agreed switch that the rank has not reached; zero when none.
	Next Switch
}
