package wait

// Notify sends to a channel of capacity one without waiting: the receiver is told once, however
// often it was notified meanwhile.
func Notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
