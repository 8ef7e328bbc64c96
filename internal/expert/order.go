package expert

// Number is the sequence number of an order: first the ballot of the coordinator,
// then the round. A gate ignores orders with a lower number than the highest that
// it has received, so that late messages and late duplicates have no effect.
type Number struct {
	Ballot uint64
	Round  uint64
}

// Before reports whether a number is older than another.
func (number Number) Before(other Number) bool {
	if number.Ballot != other.Ballot {
		return number.Ballot < other.Ballot
	}
	return number.Round < other.Round
}

// Switch is the first step at which an epoch's map is in force.
type Switch struct {
	Epoch uint64
	Step  uint64
}

// Order is an order from the coordinator to a gate: Query, Prepare, Hold,
// Activate, Release or Join.
type Order interface {
	sealedOrder()
	number() Number
}

// Query requests the status and makes the gate ignore coordinators with a lower
// ballot.
type Query struct{ Number Number }

// Prepare orders the rank to load the experts of an epoch's map.
type Prepare struct {
	Number Number
	Epoch  uint64
}

// Hold stops the rank before a step until Activate or Release.
type Hold struct {
	Number Number
	Switch Switch
}

// Activate puts a map in force at the held step.
type Activate struct {
	Number Number
	Switch Switch
}

// Release ends a hold without a new map.
type Release struct{ Number Number }

// Join lets a restarted rank run again, from a step on and with the present map
// of the group. Next is the switch that is agreed but not yet reached.
// Incarnation is that of the rank's status, so that a delayed copy cannot admit
// a later incarnation at a step that the group has already left.
type Join struct {
	Number      Number
	Incarnation uint64
	Now         Switch
	Next        Switch
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

// Status is the reply of a gate to every order.
type Status struct {
	Rank int
	// Incarnation changes when the rank restarts and loses the orders it had.
	Incarnation uint64
	// Promised is the highest number received; older orders are ignored.
	Promised Number
	// Joined reports whether the rank runs steps.
	Joined bool
	// Epoch is that of the map in force. Step is the next step to begin, unlike
	// swap.Rank.Step, which is the last one that was begun.
	Epoch uint64
	Step  uint64
	// Loaded lists the epochs whose experts the rank has loaded.
	Loaded []uint64
	// Held is the switch before whose step the rank stops; zero for none.
	Held Switch
	// Next is the agreed switch that the rank has not reached; zero for none.
	Next Switch
}
