package replica

import "errors"

// count counts the end of one need by its result.
func (m *Manager) count(err error) {
	m.o.Metrics.Tagged(map[string]string{"result": resultOf(err)}).Counter("needs").Inc(1)
}

// resultOf names the result of a need in metrics.
func resultOf(err error) string {
	var (
		right    *NoSlotError
		memory   *NoMemoryError
		load     *LoadFailedError
		draining *DrainingError
		deadline *DeadlineError
	)
	switch {
	case err == nil:
		return "leased"
	case errors.As(err, &right):
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
