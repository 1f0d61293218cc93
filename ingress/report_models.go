package ingress

import "github.com/laureltally/laureltally/wire"

// reportModels keeps the models of the reports of one stream, of which each lists
// only what has changed since the one before.
type reportModels struct{ models []wire.ModelReport }

// complete makes a report list all models. It belongs to the stream, not to what is
// believed of a VM: an engine may start anew under another id meanwhile, and its
// sidecar goes on reporting changes.
func (l *reportModels) complete(r *wire.Report) {
	if r.ModelsDelta {
		r.Models, r.ModelsDelta = wire.ApplyModelChanges(l.models, r.Models), false
	}
	l.models = r.Models
}
