package residency

import (
	"slices"

	"github.com/laureltally/laureltally/ident"
)

// footprint is the accelerator memory that a loaded model takes, in MB.
type footprint struct {
	// weights is that of the model itself, adapter that of each of its adapters.
	weights, adapter float64
}

// recordFootprints records the sizes of the loaded models and of the one that is being loaded,
// as the configuration in force states them. They stay recorded while the engine holds the
// models: a later configuration may lack a model or state a smaller size.
func (s *Scheduler) recordFootprints() {
	if s.spec == nil || s.snap == nil {
		return
	}
	for name := range s.footprints {
		if _, loaded := s.snap.Loaded[name]; !loaded && !s.loading(name) {
			delete(s.footprints, name)
		}
	}
	for name := range s.snap.Loaded {
		s.recordFootprint(name)
	}
	if s.inFlight != nil && s.inFlight.loadsModel() {
		s.recordFootprint(s.inFlight.Model)
	}
}

func (s *Scheduler) recordFootprint(name ident.Model) {
	spec := s.spec.Model(name)
	if spec == nil {
		return
	}
	f := s.footprints[name]
	s.footprints[name] = footprint{weights: max(f.weights, spec.MemoryMB), adapter: max(f.adapter, spec.AdapterMB)}
}

// usedMB returns the memory of all loaded models and adapters and of adapters being loaded. A
// model of unknown size, which was loaded before this process started and is not configured,
// counts as the whole memory.
func (s *Scheduler) usedMB() float64 {
	used := 0.0
	for name, adapters := range s.snap.Loaded {
		f, known := s.footprints[name]
		if !known {
			f.weights = s.spec.MemoryMB
		}
		used += f.weights + float64(len(adapters))*f.adapter
	}
	for _, ref := range s.snap.LoadingAdapters {
		used += s.footprints[ref.Model].adapter
	}
	return used
}

// hasMemory reports whether a model fits beside all loaded ones.
func (s *Scheduler) hasMemory(name ident.Model) bool {
	spec := s.spec.Model(name)
	return spec != nil && s.usedMB()+spec.MemoryMB <= s.spec.MemoryMB
}

// retired reports whether a model is not configured, so that no request for it is accepted.
func (s *Scheduler) retired(name ident.Model) bool { return s.spec.Model(name) == nil }

// Retired returns the loaded models that are retired, by name.
func (s *Scheduler) Retired() []ident.Model {
	if s.spec == nil || s.snap == nil {
		return nil
	}
	var names []ident.Model
	for name := range s.snap.Loaded {
		if s.retired(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// retiredVictim returns a loaded model to unload because it is retired, or an empty name. One of
// unknown size comes first, even while requests use it: no other unload makes room beside it.
func (s *Scheduler) retiredVictim() ident.Model {
	retired := s.Retired()
	for _, name := range retired {
		if _, known := s.footprints[name]; !known {
			return name
		}
	}
	for _, name := range retired {
		if s.model(name).active == 0 {
			return name
		}
	}
	return ""
}
