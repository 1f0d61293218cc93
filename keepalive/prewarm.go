package keepalive

import "time"

// Prewarm returns the keys that are worth loading at now although no request
// asks for them, the most likely first. The caller leaves out what is loaded
// and what does not fit.
func (k *Keeper[K]) Prewarm(now time.Time) []K { return nil }

// NextPrewarm returns when Prewarm may next return another answer, and false if
// it never does.
func (k *Keeper[K]) NextPrewarm(now time.Time) (time.Time, bool) { return time.Time{}, false }
