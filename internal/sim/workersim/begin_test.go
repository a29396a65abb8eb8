package workersim

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
)

// The conditions of a queued request are checked again right before its prefill. If one has changed since the admission
// the request is rejected as not executed; if its time is over, at once and not when a slot is free.
func TestWhatWaitsIsLookedAtAgain(t *testing.T) {
	for name, x := range map[string]struct {
		beginBy     time.Duration // from now; zero: no limit
		incarnation string
		change      func(*Worker)
		want        string // reason of the rejection; empty: it runs
		within      time.Duration
	}{
		"nothing changes":            {0, "", nil, "", 11 * time.Second},
		"its time is long enough":    {9 * time.Second, "", nil, "", 11 * time.Second},
		"its time ends in the queue": {2 * time.Second, "", nil, "full", 2 * time.Second},
		"its time was over":          {-time.Second, "", nil, "full", 0},
		"newer weights":              {0, "", func(c *Worker) { c.weights = 2 }, "weights", 6 * time.Second},
		"another incarnation":        {0, "cab-1/before", nil, "incarnation", 6 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := daemon.RealEnvironment(settings.Process{})
			w.Clock, w.WallClock = clock.Synctest(), time.Now
			l := daemon.NewIn(w, "cab", settings.Process{Name: "cab-1", Bounds: settings.DefaultBounds(),
				Options: []string{"log=off", "model=m", "slots=1", "fixed_us=5000000", "token_us=0", "square_us=0"}})
			defer l.Stop(0)
			c, err := openWorker(l)
			if err != nil {
				t.Fatal(err)
			}
			ask := func(s contract.StartRequest) *httptest.ResponseRecorder {
				s.Model, s.Weights, s.Parts, s.WaitMs, s.Chunks = "m", 1, []string{s.RequestID}, 60000, 1
				raw, _ := json.Marshal(s) // plain fields: can't fail
				r := httptest.NewRecorder()
				c.serveStart(r, httptest.NewRequest("POST", "/v1/start", strings.NewReader(string(raw))))
				return r
			}
			var first sync.WaitGroup
			first.Go(func() { ask(contract.StartRequest{RequestID: "first"}) }) // its prefill takes five seconds
			synctest.Wait()
			if x.change != nil {
				time.AfterFunc(time.Second, func() { c.mu.Lock(); x.change(c); c.mu.Unlock() })
			}
			s := contract.StartRequest{RequestID: "second", Incarnation: x.incarnation}
			if x.beginBy != 0 {
				s.BeginByUs = (l.Clock.Now() + x.beginBy).Microseconds()
			}
			t0 := time.Now()
			r := ask(s)
			took := time.Since(t0)
			first.Wait()
			var d contract.Rejection
			_ = json.Unmarshal(r.Body.Bytes(), &d) // the lines of a stream decode as no rejection
			ran := 0
			for _, y := range c.runs {
				if y.RequestID == "second" {
					ran++
				}
			}
			if d.Reason != x.want || d.NotExecuted != (x.want != "") || (ran > 0) == (x.want != "") || took > x.within {
				t.Errorf("%s: %d %+v, ran %d times, after %v", name, r.Code, d, ran, took)
			}
		})
	}
}
