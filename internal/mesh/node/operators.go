package node

import (
	"encoding/json"
	"net/http"

	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"github.com/VictoriaMetrics/metrics"
)

// operators serves the metrics, the state dump and the text of the
// configuration.
func (n *Node) operators() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics())
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		if err := enc.Encode(n.kernel.Dump()); err != nil {
			n.log.WithError(err).Warn("writing the state dump failed")
		}
	})
	mux.Handle("GET "+confsync.ConfigPath, n.config)
	return mux
}

func (n *Node) metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.metricSet.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}
