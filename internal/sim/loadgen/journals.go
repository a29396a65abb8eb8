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

// ReadJournal reads all entries of a worker's journal. It ignores a last line that is truncated because the worker was
// killed while writing it.
//
// Example: runs, err := loadgen.ReadJournal(file)
func ReadJournal(f io.Reader) ([]workersim.Run, error) {
	var runs []workersim.Run
	for decoder := json.NewDecoder(f); ; {
		var run workersim.Run
		if err := decoder.Decode(&run); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return runs, nil
		} else if err != nil {
			return runs, errs.Wrap(err, "read worker's journal")
		}
		runs = append(runs, run)
	}
}

// Journals fetches the journals of running workers by HTTP. The argument maps worker names to addresses.
//
// Example: journals, err := loadgen.Journals(ctx, map[string]string{"worker-1": "127.10.1.21:9000"})
func Journals(ctx context.Context, addrs map[string]string) (map[string][]workersim.Run, error) {
	journals := map[string][]workersim.Run{}
	var batch errs.Batch
	for name, addr := range addrs {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/runs", nil)
		if err != nil {
			return nil, errs.Wrap(err, "create request for the journal of worker "+name)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			batch.Add("fetch journal of worker "+name, err)
			continue
		}
		var runs []workersim.Run
		batch.Add("fetch journal of worker "+name, json.NewDecoder(response.Body).Decode(&runs))
		response.Body.Close()
		journals[name] = runs
	}
	return journals, batch.Err()
}
