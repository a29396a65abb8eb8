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
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
)

// The conditions of a queued request are checked again right before its prefill. If one no longer holds, the request
// is rejected as not executed. If its start deadline passes in the queue, it is rejected at that time and not only
// when a slot becomes free.
func TestWhatWaitsIsLookedAtAgain(t *testing.T) {
	for name, test := range map[string]struct {
		beginBy     time.Duration // start deadline of the queued request, from now; zero: none
		incarnation string
		change      func(*Worker)
		want        string // reason of the expected rejection; empty: the request runs
		within      time.Duration
	}{
		"conditions hold":                      {0, "", nil, "", 11 * time.Second},
		"start deadline after a slot is free":  {9 * time.Second, "", nil, "", 11 * time.Second},
		"start deadline passes in the queue":   {2 * time.Second, "", nil, "full", 2 * time.Second},
		"start deadline has passed on arrival": {-time.Second, "", nil, "full", 0},
		"worker loads newer weights meanwhile": {0, "", func(worker *Worker) { worker.weights = 2 }, "weights", 6 * time.Second},
		"request for another incarnation":      {0, "worker-1/before", nil, "incarnation", 6 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			environment := daemon.RealEnvironment(settings.Process{})
			environment.Clock, environment.WallClock = clock.Synctest(), time.Now
			process := daemon.NewIn(environment, programs.WorkerSim, settings.Process{Name: "worker-1", Bounds: settings.DefaultBounds(),
				Options: []string{"log=off", "model=m", "slots=1", "fixed_us=5000000", "token_us=0", "square_us=0"}})
			defer process.Stop(0)
			worker, err := openWorker(process)
			if err != nil {
				t.Fatal(err)
			}
			ask := func(request contract.StartRequest) *httptest.ResponseRecorder {
				request.Model, request.Weights, request.Parts, request.WaitMs, request.Chunks = "m", 1, []string{request.RequestID}, 60000, 1
				raw, _ := json.Marshal(request) // can't fail: the struct has only JSON-encodable fields
				recorder := httptest.NewRecorder()
				worker.serveStart(recorder, httptest.NewRequest("POST", "/v1/start", strings.NewReader(string(raw))))
				return recorder
			}
			var first sync.WaitGroup
			first.Go(func() { ask(contract.StartRequest{RequestID: "first"}) }) // occupies the only slot for the five seconds of its prefill
			synctest.Wait()
			if test.change != nil {
				time.AfterFunc(time.Second, func() { worker.mu.Lock(); test.change(worker); worker.mu.Unlock() })
			}
			request := contract.StartRequest{RequestID: "second", Incarnation: test.incarnation}
			if test.beginBy != 0 {
				request.BeginByUs = (process.Clock.Now() + test.beginBy).Microseconds()
			}
			sentAt := time.Now()
			recorder := ask(request)
			elapsed := time.Since(sentAt)
			first.Wait()
			var rejection contract.Rejection
			_ = json.Unmarshal(recorder.Body.Bytes(), &rejection) // a response stream isn't one JSON value, so rejection stays empty
			ran := 0
			for _, run := range worker.runs {
				if run.RequestID == "second" {
					ran++
				}
			}
			if rejection.Reason != test.want || rejection.NotExecuted != (test.want != "") || (ran > 0) == (test.want != "") || elapsed > test.within {
				t.Errorf("%s: status %d with rejection %+v after %v, %d journal entries; want rejection reason %q within %v", name, recorder.Code, rejection, elapsed, ran, test.want, test.within)
			}
		})
	}
}
