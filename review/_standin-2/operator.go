package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, objectiveMs, attempts  int
}

// service is a service of the configuration.
type service struct {
	name  string
	keyed bool
}

// limits are the limits on consumers' requests, as in the example of the pages.
var limits = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}

// configBody returns the body of a call that sets everything under one version.
func configBody(version string, routes []route, services []service) []byte {
	listeners, clusters := []any{}, []any{}
	for _, r := range routes {
		rule := map[string]any{"name": r.name, "kind": r.kind, "target-latency-ms": r.objectiveMs, "priority": 1, "version": version,
			"match":  map[string]any{"path-prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout-ms": r.timeoutMs, "max-attempts": r.attempts}}
		listeners = append(listeners, map[string]any{"host": r.host, "rules": []any{rule}})
	}
	for _, s := range services {
		cluster := map[string]any{"name": s.name, "health-path": "/health", "max-conns": 130, "protocol": "h1", "tls": false, "version": version}
		if s.keyed {
			cluster["sharded"], cluster["warm-s"], cluster["grants"] = true, 2.0, "heartbeat"
		}
		clusters = append(clusters, cluster)
	}
	l := map[string]any{"version": version}
	for name, value := range limits {
		l[name] = value
	}
	body, _ := json.Marshal(map[string]any{"upsert": map[string]any{"limits": l, "listeners": listeners, "clusters": clusters},
		"remove": map[string]any{"routes": []any{}}})
	return body
}

// patch sends a call of the operator until it is answered clearly: to one daemon after another, with growing pauses.
func (s *site) patch(body []byte, limit time.Duration) (status int, err error) {
	deadline := time.Now().Add(limit)
	pause := 100 * time.Millisecond
	for time.Now().Before(deadline) {
		list := s.controlAddresses()
		address := list[rand.IntN(len(list))]
		status, err = post("http://"+address+"/config/patch", body, time.Second)
		s.record.write("operator: patch at %s: status %d, error %v", address, status, err)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, nil
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, fmt.Errorf("the operator's call had no clear answer within %s", limit)
}

// post sends a JSON body and returns the status of the answer.
func post(url string, body []byte, timeout time.Duration) (status int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
