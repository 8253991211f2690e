package priority

// binsPerClass is the resolution of a Histogram.
const binsPerClass = 256

// Histogram is a distribution of work over scores. Its zero value is empty.
type Histogram [Classes * binsPerClass]float64

// Add adds work of a score.
func (h *Histogram) Add(s Score, work float64) {
	h[bin(s)] += work
}

// Total is all work.
func (h *Histogram) Total() float64 {
	total := 0.0
	for _, work := range h {
		total += work
	}
	return total
}

func bin(s Score) int { return min(max(int(float64(s)*binsPerClass), 0), Classes*binsPerClass-1) }

// Scale multiplies all work by a factor.
func (h *Histogram) Scale(factor float64) {
	for i := range h {
		h[i] *= factor
	}
}

// Below returns the work with a lower score.
func (h *Histogram) Below(s Score) float64 {
	below := 0.0
	for _, work := range h[:bin(s)] {
		below += work
	}
	return below
}

// Quantile returns the cutoff below which this much work lies, AdmitAll if there is
// less work in total.
func (h *Histogram) Quantile(work float64) Cutoff {
	sum := 0.0
	for i, binWork := range h {
		if sum+binWork > work {
			inside := (work - sum) / binWork
			return Cutoff((float64(i) + inside) / binsPerClass)
		}
		sum += binWork
	}
	return AdmitAll
}
