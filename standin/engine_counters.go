package standin

// EngineCounters is the response of /control/counters of an engine.
type EngineCounters struct {
	PeakMB int64 `json:"peak_mb"`
	// Overcommits counts loads that did not fit into memory, accepted or not.
	Overcommits int64 `json:"overcommits"`
	Loads       int64 `json:"loads"`
	Unloads     int64 `json:"unloads"`
	StaleFences int64 `json:"stale_fences"`
	Requests    int64 `json:"requests"`
	// Resumed counts requests for the rest of a response.
	Resumed int64 `json:"resumed"`
	// Cancelled counts requests that ended before their response was complete.
	Cancelled   int64 `json:"cancelled"`
	PeakRunning int   `json:"peak_running"`
	CacheHits   int64 `json:"cache_hits"`
}
