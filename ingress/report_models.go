package ingress

import "github.com/laureltally/laureltally/wire"

// reportModels keeps the complete model list of the reports on one stream, each of
// which lists only the changes since the one before.
type reportModels struct{ models []wire.ModelReport }

// complete makes a report list all models. The list belongs to the stream, not to the
// VM: an engine may restart under another id while its sidecar goes on reporting
// changes.
func (l *reportModels) complete(r *wire.Report) {
	if r.ModelsDelta {
		r.Models, r.ModelsDelta = wire.ApplyModelChanges(l.models, r.Models), false
	}
	l.models = r.Models
}
