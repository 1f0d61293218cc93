package standin

// EngineCounters is the answer of /control/counters of an engine.
type EngineCounters struct {
	PeakMB int64 `json:"peak_mb"`
	// Overcommits counts loads that did not fit, accepted or not.
	Overcommits int64 `json:"overcommits"`
	Loads       int64 `json:"loads"`
	Unloads     int64 `json:"unloads"`
	StaleFences int64 `json:"stale_fences"`
	Requests    int64 `json:"requests"`
	// Resumed counts requests for the rest of an answer.
	Resumed int64 `json:"resumed"`
	// Cancelled counts requests whose caller went away before the end.
	Cancelled   int64 `json:"cancelled"`
	PeakRunning int   `json:"peak_running"`
	CacheHits   int64 `json:"cache_hits"`
}
