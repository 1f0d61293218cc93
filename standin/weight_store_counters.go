package standin

// WeightStoreCounters is the response of /control/counters of a weight store.
type WeightStoreCounters struct {
	Loads        int64 `json:"loads"`
	PeakLoads    int   `json:"peak_loads"`
	Adapters     int64 `json:"adapters"`
	PeakAdapters int   `json:"peak_adapters"`
}
