package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/sim/workersim"
)

// ReadJournal reads a worker's journal. A last line that was truncated when the worker was killed is ignored.
//
// Example: runs, err := loadgen.ReadJournal(file)
func ReadJournal(f io.Reader) ([]workersim.Run, error) {
	var runs []workersim.Run
	for decoder := json.NewDecoder(f); ; {
		var run workersim.Run
		if err := decoder.Decode(&run); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return runs, nil
		} else if err != nil {
			return runs, errs.Wrap(err, "read journal")
		}
		runs = append(runs, run)
	}
}

// Journals requests the journals of running workers, given by name and address.
//
// Example: journals, err := loadgen.Journals(ctx, map[string]string{"worker-1": "127.10.1.21:9000"})
func Journals(ctx context.Context, addrs map[string]string) (map[string][]workersim.Run, error) {
	journals := map[string][]workersim.Run{}
	var batch errs.Batch
	for name, addr := range addrs {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/runs", nil)
		if err != nil {
			return nil, errs.Wrap(err, "request journal")
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			batch.Add("journal of "+name, err)
			continue
		}
		var runs []workersim.Run
		batch.Add("journal of "+name, json.NewDecoder(response.Body).Decode(&runs))
		response.Body.Close()
		journals[name] = runs
	}
	return journals, batch.Err()
}
