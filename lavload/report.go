package lavload

import (
	"math"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavscenario"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what a run came to.
type Report struct {
	Scenario string
	Seed     uint64
	Sent     int
	// Verdicts counts the requests by verdict, and Kinds by kind and verdict.
	Verdicts map[string]int
	Kinds    map[string]map[string]int
	// Service is the weight of the requests answered in time over that of all.
	Service float64
	// FirstToken are seconds to the first token by length class, and Took are
	// seconds to the end of the answer by kind.
	FirstToken map[string]Quantiles
	Took       map[string]Quantiles
	// Unanswered counts the failures by what callers were told.
	Unanswered map[string]int
	// BehindSeconds is how late the load itself sent at worst.
	BehindSeconds float64
	// Seconds are the counts of each second of arrivals.
	Seconds []Second
	Faults  []FaultReport
}

// Second counts the requests that arrived in one second of the run.
type Second struct {
	Sent     int
	Answered int
	Refused  int
}

// FaultReport tells of a fault of the scenario.
type FaultReport struct {
	AtSeconds float64
	Kind      string
	Target    string
	// Error is why the fault could not be brought about.
	Error string `json:",omitempty"`
}

// Quantiles are seconds.
type Quantiles struct {
	Count int64
	P50   float64
	P95   float64
	P99   float64
	Max   float64
}

// Range and precision of the histograms.
const (
	longestTime       = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Histogram keeps times with three digits.
type Histogram struct{ times *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{times: hdrhistogram.New(1, longestTime, significantDigits)}
}

// Add takes in a time; one beyond the range counts as the longest.
func (h *Histogram) Add(d time.Duration) {
	_ = h.times.RecordValue(min(max(d.Microseconds(), 1), longestTime))
}

// Quantiles returns the quantiles of what was added.
func (h *Histogram) Quantiles() Quantiles {
	return Quantiles{
		Count: h.times.TotalCount(),
		P50:   seconds(h.times.ValueAtQuantile(50)),
		P95:   seconds(h.times.ValueAtQuantile(95)),
		P99:   seconds(h.times.ValueAtQuantile(99)),
		Max:   seconds(h.times.Max()),
	}
}

func seconds(micros int64) float64 {
	return (time.Duration(micros) * time.Microsecond).Seconds()
}

// recorder collects a report. Its owner locks it.
type recorder struct {
	report   *Report
	weight   float64
	answered float64
	first    map[lavrequest.LengthClass]*Histogram
	took     map[lavrequest.Kind]*Histogram
	warm     time.Duration
}

func newRecorder(s *lavscenario.Scenario, seed uint64) *recorder {
	return &recorder{
		report: &Report{
			Scenario:   s.Name,
			Seed:       seed,
			Verdicts:   make(map[string]int),
			Kinds:      make(map[string]map[string]int),
			FirstToken: make(map[string]Quantiles),
			Took:       make(map[string]Quantiles),
			Unanswered: make(map[string]int),
			Faults:     []FaultReport{},
			Seconds:    make([]Second, max(int(math.Ceil(s.Length().Seconds())), 1)),
		},
		first: make(map[lavrequest.LengthClass]*Histogram),
		took:  make(map[lavrequest.Kind]*Histogram),
		warm:  s.Warm(),
	}
}

// add takes in one result. Promises are counted from the beginning, measures
// only after the warm-up.
func (r *recorder) add(a lavscenario.Arrival, result Result, behind time.Duration) {
	r.report.Sent++
	r.report.BehindSeconds = max(r.report.BehindSeconds, behind.Seconds())
	verdict := result.Verdict.String()
	r.report.Verdicts[verdict]++
	kind := a.Kind.String()
	if r.report.Kinds[kind] == nil {
		r.report.Kinds[kind] = make(map[string]int)
	}
	r.report.Kinds[kind][verdict]++
	if result.Why != "" {
		r.report.Unanswered[result.Why]++
	}
	second := &r.report.Seconds[min(int(a.At.Seconds()), len(r.report.Seconds)-1)]
	second.Sent++
	switch result.Verdict {
	case VerdictAnswered:
		second.Answered++
	case VerdictRefused:
		second.Refused++
	default:
	}
	if a.At >= r.warm {
		r.measure(a, result)
	}
}

func (r *recorder) measure(a lavscenario.Arrival, result Result) {
	r.weight += a.Weight
	if result.Verdict != VerdictAnswered {
		return
	}
	r.answered += a.Weight
	if r.took[a.Kind] == nil {
		r.took[a.Kind] = NewHistogram()
	}
	r.took[a.Kind].Add(result.Took)
	if result.FirstToken == 0 {
		return
	}
	if r.first[result.Class] == nil {
		r.first[result.Class] = NewHistogram()
	}
	r.first[result.Class].Add(result.FirstToken)
}

func (r *recorder) addFault(f lavscenario.Fault, err error) {
	report := FaultReport{AtSeconds: time.Duration(f.At).Seconds(), Kind: f.Kind.String(), Target: f.Target}
	if err != nil {
		report.Error = err.Error()
	}
	r.report.Faults = append(r.report.Faults, report)
}

func (r *recorder) progress() (sent, answered int) {
	return r.report.Sent, r.report.Verdicts[VerdictAnswered.String()]
}

func (r *recorder) finish() *Report {
	for class, h := range r.first {
		r.report.FirstToken[class.String()] = h.Quantiles()
	}
	for kind, h := range r.took {
		r.report.Took[kind.String()] = h.Quantiles()
	}
	if r.weight > 0 {
		r.report.Service = r.answered / r.weight
	}
	return r.report
}

// Violations counts the requests whose promise was broken.
func (r *Report) Violations() int {
	return r.Verdicts[VerdictLate.String()] + r.Verdicts[VerdictIncomplete.String()] + r.Verdicts[VerdictMisdelivered.String()]
}
