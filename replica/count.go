package replica

import "errors"

// countResult counts one resolved waiter by its result. A waiter that is
// withdrawn because its context ended is not counted.
func (m *Manager) countResult(err error) {
	m.o.Metrics.Tagged(map[string]string{"result": resultOf(err)}).Counter("needs").Inc(1)
}

// resultOf returns the result of a waiter as named in metrics.
func resultOf(err error) string {
	var (
		slot     *NoSlotError
		memory   *NoMemoryError
		load     *LoadFailedError
		draining *DrainingError
		deadline *DeadlineError
	)
	switch {
	case err == nil:
		return "leased"
	case errors.As(err, &slot):
		return "no_right"
	case errors.As(err, &memory):
		return "no_memory"
	case errors.As(err, &load):
		return "load_failed"
	case errors.As(err, &draining):
		return "draining"
	case errors.As(err, &deadline):
		return "deadline"
	}
	return "unknown_model"
}
