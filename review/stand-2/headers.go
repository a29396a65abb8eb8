package main

import (
	"fmt"
	"strings"
	"time"
)

// playHeaders raises maxHeaderBytes and then sends requests whose header is over the earlier limit and under the new
// one. Without the disruption the limit stays and the headers stay under it.
func playHeaders(p *played) (bool, error) {
	size := 10000
	if p.trouble {
		size = 30000
		if err := p.putConfig(p.cores, 5, siteConfig(7, 65536, 0, false), 5*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second) // configApplyMs is 2 s
	denied, sent, served := 0, 0, 0
	for i := range 400 {
		r := request{id: fmt.Sprintf("%016x", 0x1000+i), edge: p.frontend(i % p.edges), body: 1000, chunked: i%2 == 0, within: 8 * time.Second}
		if i%4 == 0 {
			r.header = longPrefix(size)
		}
		status, text, err := r.send()
		p.record.add("client sent %s with %d bytes of X-Prompt-Prefix: %d %v", r.id, len(r.header), status, err)
		sent++
		switch {
		case err == nil && status == 200:
			served++
		case status >= 300 && status < 500 && status != 408 && status != 421 && status != 429:
			denied++
			if denied == 1 {
				p.record.add("first denial: %q", text)
			}
		}
	}
	p.record.add("sent %d, served %d, denied %d; the rule allows %d", sent, served, denied, 5+sent/500)
	if served < sent/2 {
		return false, fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return denied > 5+sent/500, nil
}

// longPrefix returns a prompt of many parts with about the given length as text.
func longPrefix(size int) string {
	var parts strings.Builder
	for i := 0; parts.Len() < size; i++ {
		fmt.Fprintf(&parts, "%08x:16,", 0x5c000000+i)
	}
	return parts.String() + "e4402b7d:250"
}
