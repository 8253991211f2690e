package inbound

import (
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"github.com/sirupsen/logrus"
)

// maxLimitText bounds the text of an invalid limit in logs, in bytes.
const maxLimitText = 40

// recordLimit logs changes of the rate limit that the target names.
func (s *Service) recordLimit(l call.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == s.limit {
		return
	}
	fields := logrus.Fields{"target": s.target.Last.ID}
	switch l := l.(type) {
	case call.NoLimit:
	case call.NamedLimit:
		fields["per_second"] = l.PerSecond
	case call.InvalidLimit:
		s.log.WithFields(fields).WithField("text", l.Text[:min(len(l.Text), maxLimitText)]).Warn("target named an invalid limit")
		return
	}
	s.limit = l
	s.log.WithFields(fields).Info("limit named by the target changed")
}
