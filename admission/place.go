package admission

// place is where an item waits.
type place struct {
	lane  *lane
	class *class
	flow  *flow
}
