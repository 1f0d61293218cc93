package sidecar

import (
	"time"

	"github.com/laureltally/laureltally/requestlimit"
	"github.com/laureltally/laureltally/wire"
)

// announceNews wakes the subscriptions if there is something new, at the interval of
// reports, so that what is learned together is sent together. The caller holds mu.
func (s *Sidecar) announceNews() {
	if seq := s.findings.Seq() + s.limits.Seq(); seq != s.announced {
		s.announced = seq
		s.newsChanged.broadcast()
	}
}

// news returns the messages with what a subscription has not been sent yet. The caller
// holds mu.
func (s *Sidecar) news(now time.Time, sub *subscription) []wire.Message {
	var messages []wire.Message
	if found := s.findings.Since(now, sub.findingsSeq); sub.Findings && !found.Empty() {
		messages = append(messages, found.Encode(now))
	}
	if limits := s.limits.Since(now, sub.limitsSeq); sub.Limits && len(limits) > 0 {
		messages = append(messages, requestlimit.Encode(now, limits))
	}
	sub.findingsSeq, sub.limitsSeq = s.findings.Seq(), s.limits.Seq()
	return messages
}
