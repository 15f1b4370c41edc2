package lavburn

import (
	_ "embed"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageTemplate string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": formatPercent,
	"burn":    formatBurnRate,
	"short":   func(w WindowReport) string { return formatWindow(time.Duration(w.Window)) },
	"title":   func(o ObjectiveReport) string { return o.description() },
	"svg":     func(o ObjectiveReport) (template.HTML, error) { return o.svg() },
	"time":    func(t time.Time) string { return t.Format("2006-01-02 15:04:05 UTC") },
	"budget":  func(o ObjectiveReport) float64 { return 100 * o.BudgetLeft },
	"longest": func() string { return formatWindow(time.Duration(longestWindow())) },
}).Parse(pageTemplate))

// WriteHTML writes the report as a self-contained HTML page, without references to
// other resources.
func (r *Report) WriteHTML(w io.Writer) error { return page.Execute(w, r) }
