package admission

// position identifies the flow in which an item waits.
type position struct {
	regionQueue *regionQueue
	class       *class
	flow        *flow
}
