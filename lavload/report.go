package lavload

import (
	"math"
	"time"

	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavscenario"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the summary of a run.
type Report struct {
	Scenario string
	Seed     uint64
	Sent     int
	// Verdicts is the number of requests by verdict.
	Verdicts map[string]int
	// Kinds is the number of requests by kind and verdict.
	Kinds map[string]map[string]int
	// Service is the total weight of the requests answered within their
	// deadline, divided by the total weight of all requests.
	Service float64
	// FirstToken is the time to the first token in seconds, by length class.
	FirstToken map[string]Quantiles
	// Took is the time to the end of the answer in seconds, by kind.
	Took map[string]Quantiles
	// Unanswered is the number of failures by error text.
	Unanswered map[string]int
	// BehindSeconds is the longest delay between the planned arrival of a
	// request and the time at which the load generator sent it.
	BehindSeconds float64
	// Seconds has an entry for each second of the run, by arrival time.
	Seconds []Second
	// Faults has an entry for each fault that was due.
	Faults []FaultReport
}

// Second holds the number of requests that arrived in one second of the run.
type Second struct {
	Sent     int
	Answered int
	Refused  int
}

// FaultReport describes the injection of a fault of the scenario.
type FaultReport struct {
	AtSeconds float64
	Kind      string
	Target    string
	// Error is the error that the injection or its reversal returned, if any.
	Error string `json:",omitempty"`
}

// Quantiles are quantiles of a set of durations, in seconds.
type Quantiles struct {
	Count int64
	P50   float64
	P95   float64
	P99   float64
	Max   float64
}

// Parameters of the histograms. maxMicros is in microseconds.
const (
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Histogram is a histogram of durations with a precision of three significant
// digits.
type Histogram struct{ times *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{times: hdrhistogram.New(1, maxMicros, significantDigits)}
}

// Add records a duration. Values beyond the range of 1 µs to 1 h are clamped.
func (h *Histogram) Add(d time.Duration) {
	_ = h.times.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Quantiles returns the quantiles of the recorded durations.
func (h *Histogram) Quantiles() Quantiles {
	return Quantiles{
		Count: h.times.TotalCount(),
		P50:   seconds(h.times.ValueAtQuantile(50)),
		P95:   seconds(h.times.ValueAtQuantile(95)),
		P99:   seconds(h.times.ValueAtQuantile(99)),
		Max:   seconds(h.times.Max()),
	}
}

// seconds converts microseconds to seconds.
func seconds(micros int64) float64 {
	return (time.Duration(micros) * time.Microsecond).Seconds()
}

// recorder accumulates the results of a run into a report. It is not safe for
// concurrent use; the owner has to hold a lock.
type recorder struct {
	report *Report
	// offeredWeight and answeredWeight are the total weights of all requests and
	// of those answered within their deadline, after the warm-up.
	offeredWeight  float64
	answeredWeight float64
	firstToken     map[lavrequest.LengthClass]*Histogram
	took           map[lavrequest.Kind]*Histogram
	warmup         time.Duration
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
			Seconds:    make([]Second, max(int(math.Ceil(s.ArrivalPeriod().Seconds())), 1)),
		},
		firstToken: make(map[lavrequest.LengthClass]*Histogram),
		took:       make(map[lavrequest.Kind]*Histogram),
		warmup:     s.WarmupTime(),
	}
}

// add records a result. Verdicts count from the start of the run; latencies and
// weights count only after the warm-up. behind is how long after the planned
// arrival the request was sent.
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
	if a.At >= r.warmup {
		r.addMeasurements(a, result)
	}
}

// addMeasurements records the weight and the latencies of a request after the
// warm-up.
func (r *recorder) addMeasurements(a lavscenario.Arrival, result Result) {
	r.offeredWeight += a.Weight
	if result.Verdict != VerdictAnswered {
		return
	}
	r.answeredWeight += a.Weight
	if r.took[a.Kind] == nil {
		r.took[a.Kind] = NewHistogram()
	}
	r.took[a.Kind].Add(result.Took)
	if result.FirstToken == 0 {
		return
	}
	if r.firstToken[result.Class] == nil {
		r.firstToken[result.Class] = NewHistogram()
	}
	r.firstToken[result.Class].Add(result.FirstToken)
}

// addFault records the injection of a fault and its error, if any.
func (r *recorder) addFault(f lavscenario.Fault, err error) {
	report := FaultReport{AtSeconds: time.Duration(f.At).Seconds(), Kind: f.Kind.String(), Target: f.Target}
	if err != nil {
		report.Error = err.Error()
	}
	r.report.Faults = append(r.report.Faults, report)
}

// progress returns the number of requests sent and answered so far.
func (r *recorder) progress() (sent, answered int) {
	return r.report.Sent, r.report.Verdicts[VerdictAnswered.String()]
}

// finish computes the quantiles and ratios and returns the report.
func (r *recorder) finish() *Report {
	for class, h := range r.firstToken {
		r.report.FirstToken[class.String()] = h.Quantiles()
	}
	for kind, h := range r.took {
		r.report.Took[kind.String()] = h.Quantiles()
	}
	if r.offeredWeight > 0 {
		r.report.Service = r.answeredWeight / r.offeredWeight
	}
	return r.report
}

// Violations returns the number of requests whose result violates a guarantee:
// late, incomplete and misdelivered answers.
func (r *Report) Violations() int {
	return r.Verdicts[VerdictLate.String()] + r.Verdicts[VerdictIncomplete.String()] + r.Verdicts[VerdictMisdelivered.String()]
}
