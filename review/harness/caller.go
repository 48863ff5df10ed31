package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samphirestream/samphirestream/platform/standin"
)

// reply is what a caller saw of one attempt.
type reply struct {
	status int // 0 without an answer
	header http.Header
	body   string
	// whole is set if the answer ended as complete.
	whole bool
	err   error
}

// call sends one attempt on a new connection.
func call(ctx context.Context, addr, path, body string, c standin.CallerRequest) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = host
	c.Write(req.Header)
	if c.PromptTokens > 0 {
		req.Header.Set("Model", "m")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), whole: err == nil, err: err}
}

// eventsOf returns the events of a stream that are whole: their IDs and the software that made
// each.
func eventsOf(body string) (ids []int, software []string) {
	for event := range strings.SplitSeq(body, "\n\n") {
		id, data := 0, ""
		sc := bufio.NewScanner(strings.NewReader(event))
		for sc.Scan() {
			if v, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
				id, _ = strconv.Atoi(v)
			}
			if v, ok := strings.CutPrefix(sc.Text(), "data: "); ok {
				data = v
			}
		}
		if _, version, ok := strings.Cut(data, " "); ok && id > 0 && strings.Contains(body, event+"\n\n") {
			ids, software = append(ids, id), append(software, version)
		}
	}
	return ids, software
}

// modelRequest is a request to a model with the usual size of sites/nbct-router.toml.
func modelRequest(id string) standin.CallerRequest {
	return standin.CallerRequest{ID: id, Deadline: 14 * time.Second, PromptTokens: 5000, MaxTokens: 80, Parts: []string{"5c1e07a2", "e" + id}}
}
