package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/forecast"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// forecastLog breaks down the forecast at the chosen target, for the log.
type forecastLog struct {
	BacklogTokens int     `json:"backlog"` // prompt tokens to prefill before this request
	PrefillTokens int     `json:"read"`    // tokens of this prompt that are not cached
	HeldTokens    int     `json:"held"`    // tokens held in memory by requests of at least the same urgency
	MemoryWaitMs  float64 `json:"memory_ms"`
	FirstTokenMs  float64 `json:"first_ms"` // predicted time to the first token, by which the request was admitted or refused

	// The fields below are the forecast of package forecast. They decide only if Active is set.
	Active       bool    `json:"active"`
	Learned      bool    `json:"learned"`
	FirstMs      float64 `json:"expect_first_ms"`
	FirstHighMs  float64 `json:"high_first_ms"`
	LastMs       float64 `json:"expect_last_ms"`
	LastHighMs   float64 `json:"high_last_ms"`
	Events       float64 `json:"events"`
	PrefillShare float64 `json:"prefilling"`  // share of the recent time in which the target prefilled prompts
	Slowdown     float64 `json:"slow"`        // how many times as long as usual work takes at the target
	SlowdownAge  float64 `json:"slow_age_ms"` // age of the report of Slowdown; negative if it was not reported
}

// forecastWork describes the request at a target, for a forecast. age is that of the report of the slowdown, negative if there is none.
func (rq *request) forecastWork(t *target, now time.Time) (w forecast.Work, age time.Duration) {
	w = forecast.Work{
		PromptTokens: rq.prefix.prefillTokens(t.id, rq.call.PromptTotal), BacklogTokens: rq.prefillBacklog(t), MemoryWait: rq.memoryWait(t),
		PrefillShare: t.speed.PrefillShare(now), HintedTokens: rq.call.OutputHint, OutputLimit: rq.call.OutputLimit, Urgency: rq.urgency,
	}
	w.Slowdown, age = rq.service.forecast.Slowdown(&t.speed, now)
	return w, age
}

// predict predicts the answer of a target and adds the prediction to the log.
func (rq *request) predict(t *target, now time.Time) forecast.Prediction {
	w, age := rq.forecastWork(t, now)
	p := rq.service.forecast.Predict(w)
	l := rq.forecast
	l.Active, l.Learned = rq.service.forecast.Active(now), p.Learned
	l.FirstMs, l.FirstHighMs, l.LastMs, l.LastHighMs = milliseconds(p.First), milliseconds(p.FirstHigh), milliseconds(p.Last), milliseconds(p.LastHigh)
	l.Events, l.PrefillShare, l.Slowdown, l.SlowdownAge = hundredths(p.Events), hundredths(w.PrefillShare), hundredths(w.Slowdown), milliseconds(age)
	if age < 0 {
		l.SlowdownAge = -1
	}
	return p
}

// setOutlook has the whole answer decide over the target if the targets of the service differ in speed.
func (rq *request) setOutlook(req *routing.Request, now time.Time) {
	if !rq.service.forecast.Active(now) {
		return
	}
	req.PrefillRate = int(rq.service.forecast.PrefillRate())
	req.Outlook, req.Remaining = answerOutlook{rq}, rq.remaining(now)
}

// answerOutlook predicts the whole answer of a request. It implements routing.Outlook.
type answerOutlook struct{ request *request }

// Predict implements routing.Outlook.
func (o answerOutlook) Predict(target string, now time.Time) routing.AnswerOutlook {
	rq := o.request
	t := rq.service.targets[target]
	if t == nil {
		return routing.AnswerOutlook{}
	}
	w, _ := rq.forecastWork(t, now)
	p := rq.service.forecast.Predict(w)
	outlook := routing.AnswerOutlook{Slowdown: w.Slowdown, FirstExtra: p.Unseen, MemoryShare: p.MemoryShare}
	if rq.route.Kind == catalog.KindStreaming {
		outlook.Stream, outlook.StreamHigh = p.Stream, p.StreamHigh
	}
	return outlook
}

// hundredths rounds x for the log.
func hundredths(x float64) float64 { return float64(int64(x*100+0.5)) / 100 }

// observedAttempt compares the answer of a target with its forecast, and learns from it.
type observedAttempt struct {
	request   *request
	target    *target
	work      forecast.Work
	predicted forecast.Prediction
	sent      time.Time
	streams   bool // the answer starts a stream, which the forecast is about
}

// observeForecast returns the observer of an attempt that is sent now. Call it before the attempt is counted in the target's load.
func (rq *request) observeForecast(t *target, now time.Time) *observedAttempt {
	w, _ := rq.forecastWork(t, now)
	t.speed.ObservePrefill(true, now)
	return &observedAttempt{
		request: rq, target: t, work: w, predicted: rq.service.forecast.Predict(w), sent: now,
		streams: rq.route.Kind == catalog.KindStreaming && rq.answer.lastEventID == 0,
	}
}

// prefillEnded records that the target no longer prefills the prompt. The prompt must no longer be among its pending tokens.
func (o *observedAttempt) prefillEnded(firstEvent bool, now time.Time) {
	prefilling := o.target.stats.PendingTokens(routing.UrgencyLevels-1) > 0
	o.target.speed.ObservePrefill(prefilling, now)
	if !firstEvent || !o.streams {
		return
	}
	service, took := o.request.service.forecast, now.Sub(o.sent)
	if o.predicted.Learned {
		o.request.gateway.metrics.forecast.record(took, o.predicted)
	}
	service.AddRatio(&o.target.speed, service.AddFirst(o.work, took), false, now)
	if active, changed := service.ActiveChanged(now); changed {
		slowdown, age := service.Slowdown(&o.target.speed, now)
		klog.InfoS("forecast by the speed of targets changed", "service", o.request.service.Name, "active", active, "target", o.target.id,
			"slow", slowdown, "reported", age >= 0, "prefill_rate", int(service.PrefillRate()))
	}
}

// ended records the end of an answer that was served.
func (o *observedAttempt) ended(p progress, now time.Time) {
	if !o.streams || p.events == 0 {
		return
	}
	service := o.request.service.forecast
	ratio := service.AddStream(o.work, o.target.speed.PrefillShare(now), p.events, now.Sub(p.firstEvent))
	service.AddRatio(&o.target.speed, ratio, true, now)
}

// forecastMetrics compare forecasts with answers.
type forecastMetrics struct {
	firstError   tally.Histogram // time to the first event less the forecast one
	firstOverMax tally.Counter   // first events that came later than the high quantile
	firstEvents  tally.Counter   // first events that were compared
	cutStreams   tally.Counter   // streams cut by their deadline after an event had been sent to the caller
}

// forecastErrorBuckets are the upper bounds of the histogram of forecast errors.
var forecastErrorBuckets = tally.DurationBuckets{
	-time.Second, -300 * time.Millisecond, -100 * time.Millisecond, -50 * time.Millisecond, -20 * time.Millisecond, 0, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second,
}

func newForecastMetrics(s tally.Scope) forecastMetrics {
	return forecastMetrics{
		firstError: s.Histogram("forecast_error_seconds", forecastErrorBuckets), firstOverMax: s.Counter("forecasts_exceeded"),
		firstEvents: s.Counter("forecasts_compared"), cutStreams: s.Counter("streams_cut_by_deadline"),
	}
}

// record records the time to a first event that was predicted.
func (m *forecastMetrics) record(took time.Duration, p forecast.Prediction) {
	m.firstError.RecordDuration(took - p.First)
	m.firstEvents.Inc(1)
	if took > p.FirstHigh {
		m.firstOverMax.Inc(1)
	}
}
