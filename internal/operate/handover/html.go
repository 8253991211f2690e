package handover

import (
	"fmt"
	"html/template"
	"io"

	"chestnutshed.example/chestnutshed/internal/operate/review"
)

// Sizes of the bar chart, in pixels. barLeft is also written in the template.
const (
	barLeft     = 140
	maxBarWidth = 400
	rowHeight   = 24
)

// bar is one organisation in the bar chart.
type bar struct {
	Name    string
	Whole   uint64
	Refused uint64
	// WholeWidth and RefusedWidth are in pixels.
	WholeWidth   int
	RefusedWidth int
}

var pageTemplate = template.Must(template.New("handover").Funcs(template.FuncMap{
	"text":  review.Text,
	"row":   func(i int) int { return i * rowHeight },
	"after": func(b bar) int { return barLeft + b.WholeWidth },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Handover</title>
<style>body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}
td,th{padding:.2em .7em;text-align:left;border-bottom:1px solid #ccc}pre{background:#f4f4f4;padding:.7em}
.whole{fill:#3a7d44}.refused{fill:#b8422e}</style></head><body>
<h1>Handover</h1>
<p>{{.Page.At.Format "2006-01-02 15:04:05 MST"}} by {{.Page.By}}{{with .Page.Since}}, since {{.At.Format "2006-01-02 15:04:05 MST"}} by {{.By}}{{end}}</p>
<h2>Active configuration</h2>
{{with .Page.InForce}}<p>Version {{.Version}}, shipped {{.At.Format "2006-01-02 15:04:05 MST"}} by {{.By}}</p>{{else}}<p>Not known</p>{{end}}
{{range .Page.Ships}}<h3>Version {{.Head.Version}} by {{.Head.By}}</h3><pre>{{text .Changes}}</pre>{{end}}
<h2>Root requests</h2>
<svg width="760" height="{{.Height}}" role="img" aria-label="whole answers and refusals by organisation">
{{range $i, $b := .Bars}}<g transform="translate(0,{{row $i}})"><text x="0" y="15">{{$b.Name}}</text>
<rect class="whole" x="140" y="3" height="15" width="{{$b.WholeWidth}}"></rect>
<rect class="refused" x="{{after $b}}" y="3" height="15" width="{{$b.RefusedWidth}}"></rect>
<text x="560" y="15">{{$b.Whole}} whole, {{$b.Refused}} refused</text></g>
{{end}}</svg>
<h2>Open issues</h2>
<ul>{{range .Page.Open}}<li>{{.}}</li>{{else}}<li>nothing</li>{{end}}</ul>
<h2>Nodes</h2><pre>{{.Page.Now.Text}}</pre>
</body></html>
`))

// WriteHTML writes the page as a self-contained HTML document.
func (p Page) WriteHTML(w io.Writer) error {
	bars := p.bars()
	data := struct {
		Page   Page
		Bars   []bar
		Height int
	}{p, bars, rowHeight*len(bars) + rowHeight}
	if err := pageTemplate.Execute(w, data); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// bars sums up the results by organisation. The counts of an organisation follow
// one another.
func (p Page) bars() []bar {
	var bars []bar
	most := uint64(1)
	for _, t := range p.Counts {
		if len(bars) == 0 || bars[len(bars)-1].Name != orNone(t.Organisation) {
			bars = append(bars, bar{Name: orNone(t.Organisation)})
		}
		b := &bars[len(bars)-1]
		b.Whole += t.Answered
		for _, r := range t.Refusals {
			b.Refused += r.Count
		}
		most = max(most, b.Whole+b.Refused)
	}
	for i := range bars {
		bars[i].WholeWidth = int(bars[i].Whole * maxBarWidth / most)
		bars[i].RefusedWidth = int(bars[i].Refused * maxBarWidth / most)
	}
	return bars
}
