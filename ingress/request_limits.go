package ingress

import (
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/requestlimit"
	"github.com/laureltally/laureltally/serving"
)

// requestLimitNamed takes the limit that the upstream named in its response, and tells the
// other routers if it is news to them. F are the fields of the log line.
func (d *delivery) requestLimitNamed(l serving.RequestLimit, sentAt time.Time, f log.Fields) {
	now := d.s.o.Now()
	st, news := d.s.clusterState.requestLimitNamed(now, sentAt, d.choice.VM, l)
	if !news {
		return
	}
	d.s.metrics.requestLimitNews.Inc(1)
	line := d.s.o.Logger.WithFields(f)
	if l.Named {
		line.WithField("per_second", l.PerSecond).Info("upstream names a request limit")
	} else {
		line.Info("upstream names no request limit any more")
	}
	d.s.tellLimits(st.Server.Address, []requestlimit.Statement{st})
}
