package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// operator sends configurations as the page PROTOCOL says: to one state node after another until a clear answer comes.
type operator struct {
	site  *site
	cores int
}

// send sends one configuration (call "replace") or change ("update") until it is acknowledged or refused.
func (o *operator) send(call string, base int, body string) error {
	client := &http.Client{Timeout: 2 * time.Second}
	for attempt := range 60 {
		node := fmt.Sprintf("core-%d", attempt%o.cores+1)
		request, err := http.NewRequest(http.MethodPost, "http://"+o.site.address(node, controlOffset)+"/pebbleloom/config/"+call, bytes.NewBufferString(body))
		if err != nil {
			return err
		}
		request.Header.Set("X-Base-Version", strconv.Itoa(base))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			answer, _ := io.ReadAll(response.Body)
			response.Body.Close()
			switch response.StatusCode {
			case http.StatusOK:
				o.site.record.line("operator: %s on base %d acknowledged by %s: %s", call, base, node, body)
				return nil
			case 400, 409, 412, 413, 422:
				return fmt.Errorf("operator: %s on base %d refused by %s: %d %s", call, base, node, response.StatusCode, answer)
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("operator: no acknowledgement of %s on base %d", call, base)
}
