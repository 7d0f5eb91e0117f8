// Package conns exchanges requests and answers with upstreams over kept connections, and knows of each exchange whether the
// request may have run.
package conns
